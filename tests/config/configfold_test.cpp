#include "configbuilder.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace cowslippin {
namespace {

constexpr std::uint64_t seed = 20'240'611;
constexpr int caseCount = 400;

/// Checks `property` on the same random cases in every run.
template<class Property>
void
expectHolds(Property property)
{
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = caseCount;
  const auto result = rc::detail::checkTestable(
    std::move(property), rc::detail::TestMetadata(), params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << message.str();
}

/// A random stream of records and the configuration after each of them, as a
/// daemon that read all of them in turn has it.
class RandomStream
{
public:
  RandomStream()
    : m_history{ Configuration() }
  {
    const int length = *rc::gen::inRange(1, 40);
    for (int i = 0; i < length; ++i) {
      append(nextText());
    }
  }

  Offset end() const { return m_texts.size(); }
  const std::string& text(Offset at) const { return m_texts[at - 1]; }
  const Configuration& after(Offset at) const { return m_history[at]; }
  const Configuration& last() const { return m_history.back(); }

  bool hasSnapshotFrom(Offset first) const
  {
    return std::any_of(m_snapshots.begin(), m_snapshots.end(), [&](Offset at) {
      return at >= first;
    });
  }

private:
  void append(std::string text)
  {
    m_texts.push_back(std::move(text));
    m_history.push_back(last().applyText(end(), m_texts.back()).next());
  }

  /// One that operators, daemons and lost acknowledgements bring about.
  std::string nextText()
  {
    const int kind = *rc::gen::inRange(0, 10);
    if (kind == 0) {
      return "not a record";
    }
    if (kind == 1 && !m_texts.empty()) {
      return text(*rc::gen::inRange<Offset>(1, end() + 1));
    }
    return kind <= 3 ? nextSnapshot() : nextChange();
  }

  std::string nextSnapshot()
  {
    const bool isLate = *rc::gen::arbitrary<bool>();
    const Offset takenAt =
      isLate ? *rc::gen::inRange<Offset>(0, end() + 1) : end();
    if (takenAt == end()) {
      m_snapshots.push_back(end() + 1);
    }
    return encode(makeSnapshot(nextId(), after(takenAt)));
  }

  /// A change by an operator who looked at some earlier configuration.
  std::string nextChange()
  {
    const Offset backBy = *rc::gen::inRange<Offset>(0, 4);
    const Configuration& seen = after(end() - std::min(backBy, end()));
    const std::string name(1, static_cast<char>(*rc::gen::inRange(0, 3) + 'a'));
    const int tag = *rc::gen::inRange(1, 1000);
    if (*rc::gen::arbitrary<bool>()) {
      const auto current = seen.findTemplate(TemplateName(name));
      return encode(makeRecord(
        nextId(), current ? current->revision() : 0, makeTemplate(name, tag)));
    }
    const auto current = seen.findOrganisation(OrganisationName(name));
    return encode(makeRecord(nextId(),
                             current ? current->revision() : 0,
                             makeOrganisation(name, tag)));
  }

  std::string nextId() const { return "r" + std::to_string(end()); }

  std::vector<std::string> m_texts;
  std::vector<Configuration> m_history;
  std::vector<Offset> m_snapshots;
};

/// Reads from `from` to the end, expecting that nothing goes back.
Configuration
readOn(const RandomStream& stream, Configuration configuration, Offset from)
{
  for (Offset at = from; at <= stream.end(); ++at) {
    const Configuration next =
      configuration.applyText(at, stream.text(at)).next();
    RC_ASSERT(next.offset() >= configuration.offset());
    for (const auto& old : configuration.templates()) {
      const auto current = next.findTemplate(old->name());
      RC_ASSERT(current != nullptr);
      RC_ASSERT(current->revision() >= old->revision());
    }
    RC_ASSERT(next == stream.after(next.offset()));
    configuration = next;
  }
  return configuration;
}

Configuration
transferred(const Configuration& configuration)
{
  const std::string text = configuration.toJson().dump();
  const auto read = Configuration::fromJson(nlohmann::json::parse(text));
  RC_ASSERT(read.has_value());
  return *read;
}

TEST(ConfigFoldTest, DaemonThatStartsLateEndsWithTheSameConfiguration)
{
  expectHolds([] {
    const RandomStream stream;
    const Offset first = *rc::gen::inRange<Offset>(1, stream.end() + 1);
    const Configuration late =
      readOn(stream, Configuration().skippedTo(first), first);
    RC_ASSERT(late.needsSnapshot() ==
              (first > 1 && !stream.hasSnapshotFrom(first)));
    RC_ASSERT(late.needsSnapshot() || late == stream.last());
    RC_ASSERT(late.newest(transferred(stream.last())) == stream.last());
  });
}

TEST(ConfigFoldTest, DaemonThatTookAPeersConfigurationEndsWithTheSame)
{
  expectHolds([] {
    const RandomStream stream;
    const Offset own = *rc::gen::inRange<Offset>(0, stream.end() + 1);
    const Offset peer = *rc::gen::inRange<Offset>(0, stream.end() + 1);
    const Configuration taken =
      stream.after(own).newest(transferred(stream.after(peer)));
    RC_ASSERT(taken.offset() == std::max(own, peer));
    const Offset from = *rc::gen::inRange<Offset>(1, taken.offset() + 2);
    RC_ASSERT(readOn(stream, taken, from) == stream.last());
  });
}

TEST(ConfigFoldTest, DaemonThatMissedRecordsIsMendedByAPeer)
{
  expectHolds([] {
    const RandomStream stream;
    const Offset own = *rc::gen::inRange<Offset>(0, stream.end() + 1);
    const Offset first = *rc::gen::inRange<Offset>(own, stream.end() + 1) + 1;
    const Offset peer = *rc::gen::inRange<Offset>(0, stream.end() + 1);
    const Configuration gap =
      readOn(stream, stream.after(own).skippedTo(first), first);
    const Configuration mended = gap.newest(transferred(stream.after(peer)));
    const Offset next = std::max(mended.offset() + 1, first);
    const Configuration end = readOn(stream, mended, next);
    RC_ASSERT(end.needsSnapshot() || end == stream.last());
    RC_ASSERT(!end.needsSnapshot() || peer + 1 < first);
  });
}

} // namespace
} // namespace cowslippin
