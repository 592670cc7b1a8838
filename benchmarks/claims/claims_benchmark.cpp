#include "libclaims/claims.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

/// Bytes of the heap in use, as the allocator rounds them.
std::size_t allocatedBytes = 0;

} // namespace

void*
operator new(std::size_t size)
{
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  allocatedBytes += malloc_usable_size(memory);
  return memory;
}

void
operator delete(void* memory) noexcept
{
  allocatedBytes -= malloc_usable_size(memory);
  std::free(memory);
}

void
operator delete(void* memory, std::size_t /*size*/) noexcept
{
  operator delete(memory);
}

namespace cowslippin {
namespace {

SubmissionKey
keyOf(std::uint64_t number)
{
  constexpr char digits[] = "0123456789abcdef";
  constexpr std::uint64_t spread = 0x9e3779b97f4a7c15U;
  std::string text(32, '0');
  std::uint64_t value = number * spread;
  for (char& digit : text) {
    digit = digits[value % 16];
    value = value / 16 + number * spread / 3;
  }
  return SubmissionKey(std::move(text));
}

std::vector<SubmissionKey>
keysFrom(std::uint64_t first, std::size_t count)
{
  std::vector<SubmissionKey> keys;
  for (std::size_t i = 0; i < count; ++i) {
    keys.push_back(keyOf(first + i));
  }
  return keys;
}

/// One group commit: submit the keys, send and read the batch as text, start.
void
claimAll(ClaimTable& table,
         const std::vector<SubmissionKey>& keys,
         Offset offset,
         TimePoint now)
{
  for (const SubmissionKey& key : keys) {
    benchmark::DoNotOptimize(table.submit(key, now));
  }
  const ClaimBatch batch = *table.takeBatch(now);
  const std::string text = encode(batch);
  table.appendEnded(batch.batchNumber(), AppendEnd::Appended, now);
  benchmark::DoNotOptimize(table.recordRead(offset, text, now));
  for (const SubmissionKey& key : keys) {
    benchmark::DoNotOptimize(table.start(key, now));
  }
}

/// Time a key from submission to start, and to being forgotten, by the number
/// of keys in a batch.
void
claimAndStart(benchmark::State& state)
{
  const auto batchSize = static_cast<std::size_t>(state.range(0));
  ClaimLimits limits;
  limits.window = std::chrono::seconds(100);
  ClaimTable table(Incarnation("daemon-1"), limits);
  table.caughtUp(TimePoint());
  TimePoint now{};
  Offset offset = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const auto keys = keysFrom(offset * batchSize, batchSize);
    state.ResumeTiming();
    now += std::chrono::seconds(1);
    claimAll(table, keys, ++offset, now);
    table.expire(now);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}

/// Bytes kept a claim in the window, by the number of claims.
void
bytesAnEntry(benchmark::State& state)
{
  constexpr std::size_t batchSize = 500;
  const auto claims = static_cast<std::size_t>(state.range(0));
  double bytes = 0;
  for (auto _ : state) {
    const std::size_t before = allocatedBytes;
    ClaimTable table(Incarnation("daemon-1"), ClaimLimits());
    table.caughtUp(TimePoint());
    for (Offset offset = 0; offset < claims / batchSize; ++offset) {
      claimAll(table,
               keysFrom(offset * batchSize, batchSize),
               offset + 1,
               TimePoint());
    }
    const std::size_t remembered = table.stats(TimePoint()).remembered;
    bytes = static_cast<double>(allocatedBytes - before) /
            static_cast<double>(remembered);
  }
  state.counters["bytes_an_entry"] = bytes;
}

BENCHMARK(claimAndStart)->Arg(1)->Arg(10)->Arg(100)->Arg(500);
BENCHMARK(bytesAnEntry)
  ->Arg(10'000)
  ->Arg(100'000)
  ->Arg(500'000)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace cowslippin
