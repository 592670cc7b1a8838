#include "incarnations.h"

#include <array>
#include <cstdio>
#include <random>

namespace cowslippin {

namespace {

constexpr char separator = '.';

std::string
randomHex64()
{
  static thread_local std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx%08llx",
                static_cast<unsigned long long>(high & 0xffffffffU),
                static_cast<unsigned long long>(low & 0xffffffffU));
  return text.data();
}

} // namespace

Incarnation
makeIncarnation(const VmId& vm)
{
  return Incarnation(vm.value() + separator + randomHex64());
}

VmId
vmOf(const Incarnation& incarnation)
{
  const std::size_t position = incarnation.value().rfind(separator);
  if (position == std::string::npos) {
    return VmId();
  }
  return VmId(incarnation.value().substr(0, position));
}

std::string
randomHex128()
{
  return randomHex64() + randomHex64();
}

} // namespace cowslippin
