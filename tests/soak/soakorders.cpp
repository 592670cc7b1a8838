#include "durationtext.h"
#include "soak.h"

#include <charconv>

namespace cowslippin::testing {

namespace {

using std::chrono::milliseconds;

/// Of delays of a connection; the longest is below the duration of a lease.
constexpr std::size_t minDelayMs = 20;
constexpr std::size_t maxDelayMs = 700;

/// The number after a member's name in a JSON text; 0 if it isn't there.
std::uint64_t
numberOf(const std::string& json, const std::string& name)
{
  const std::string mark = '"' + name + "\":";
  const std::size_t found = json.find(mark);
  std::uint64_t number = 0;
  if (found != std::string::npos)
    std::from_chars(
      json.data() + found + mark.size(), json.data() + json.size(), number);
  return number;
}

/// The text after a member's name in a JSON text; empty if it isn't there.
std::string
textOf(const std::string& json, const std::string& name)
{
  const std::string mark = '"' + name + "\":\"";
  const std::size_t found = json.find(mark);
  if (found == std::string::npos)
    return {};
  const std::size_t begin = found + mark.size();
  return json.substr(begin, json.find('"', begin) - begin);
}

std::string
nameOf(const std::string& task, std::uint64_t run)
{
  return task + ' ' + std::to_string(run);
}

} // namespace

void
Soak::strikeOrders(TimePoint now)
{
  m_nextOrdersAt = now + betweenStrikes(150 + below(700, m_ordersRandom));
  switch (below(8, m_ordersRandom)) {
    case 0:
    case 1:
      resetOrders();
      break;
    case 2:
    case 3:
      delayOrders();
      break;
    case 4:
      refuseOrders();
      break;
    case 5:
      failOrders();
      break;
    case 6:
      delayStore();
      break;
    default:
      strikeStoreRequests();
  }
}

std::vector<LoopbackProxy*>
Soak::chooseWorkerLinks()
{
  std::vector<LoopbackProxy*> links;
  if (below(3, m_ordersRandom) == 0) {
    const std::size_t one = below(m_workerLinks.size(), m_ordersRandom);
    links.push_back(m_workerLinks[one].get());
    return links;
  }
  const bool isAll = below(2, m_ordersRandom) == 0;
  for (const auto& link : m_workerLinks) {
    if (isAll || below(3, m_ordersRandom) == 0)
      links.push_back(link.get());
  }
  return links;
}

void
Soak::resetOrders()
{
  const auto times = static_cast<unsigned>(1 + below(8, m_ordersRandom));
  const double share = 0.1 + 0.1 * double(below(10, m_ordersRandom));
  resetOrdersAgain(times, share);
}

void
Soak::resetOrdersAgain(unsigned times, double share)
{
  const bool delivers = below(3, m_ordersRandom) > 0;
  const auto links = chooseWorkerLinks();
  for (LoopbackProxy* link : links)
    link->resetSome(
      [&] { return std::bernoulli_distribution(share)(m_ordersRandom); },
      delivers);
  struck("orders reset, share " + std::to_string(share) + " of the links to " +
         std::to_string(links.size()) + " workers" +
         (delivers ? ", delivered" : ", lost"));
  if (times <= 1)
    return;
  later(milliseconds(20 + below(300, m_ordersRandom)),
        [this, times, share] { resetOrdersAgain(times - 1, share); });
}

/// Half of the connections aren't delayed, so that orders overtake each other.
void
Soak::delayOrders()
{
  const std::size_t range = 1 + below(maxDelayMs - minDelayMs, m_ordersRandom);
  const auto draw = [this, range]() -> Duration {
    if (below(2, m_ordersRandom) == 0)
      return Duration::zero();
    return milliseconds(minDelayMs + below(range, m_ordersRandom));
  };
  const auto links = chooseWorkerLinks();
  for (LoopbackProxy* link : links)
    link->setOwnDelays(draw);
  const Duration time = milliseconds(300 + below(2700, m_ordersRandom));
  later(time, [links] {
    for (LoopbackProxy* link : links)
      link->setOwnDelays(nullptr);
  });
  struck("orders delayed up to" + inMs(milliseconds(minDelayMs + range)) +
         ", to " + std::to_string(links.size()) + " workers, for" + inMs(time));
}

void
Soak::refuseOrders()
{
  const bool isReset = below(2, m_ordersRandom) == 0;
  const bool delivers = below(2, m_ordersRandom) == 0;
  const auto links = chooseWorkerLinks();
  for (LoopbackProxy* link : links) {
    link->setClosed(true);
    if (isReset)
      link->resetSome([] { return true; }, delivers);
  }
  const Duration time = milliseconds(30 + below(900, m_ordersRandom));
  later(time, [links] {
    for (LoopbackProxy* link : links)
      link->setClosed(false);
  });
  struck("orders refused, by " + std::to_string(links.size()) + " workers" +
         (isReset ? ", connections reset, for" : ", for") + inMs(time));
}

void
Soak::failOrders()
{
  LeasedPlatform::OrderFaults faults;
  faults.minDelay = milliseconds(20);
  faults.maxDelay = milliseconds(maxDelayMs);
  const double share = 0.02 + 0.02 * double(below(15, m_ordersRandom));
  for (double* each :
       { &faults.late, &faults.unanswered, &faults.unhealthy, &faults.lost }) {
    if (below(2, m_ordersRandom) == 0)
      *each = share / 2;
  }
  const Duration time = milliseconds(300 + below(3000, m_ordersRandom));
  m_platform.setOrderFaults(faults);
  m_ordersWellAt = steadyNow() + time;
  struck("orders late or unanswered, share " + std::to_string(share) + ", for" +
         inMs(time));
}

void
Soak::delayStore()
{
  const Duration delay = milliseconds(150 + below(700, m_ordersRandom));
  const Duration time = milliseconds(500 + below(3500, m_ordersRandom));
  m_platform.setStoreDelay(delay);
  later(time, [this] { m_platform.setStoreDelay(Duration::zero()); });
  struck("store answers after" + inMs(delay) + ", for" + inMs(time));
}

void
Soak::strikeStoreRequests()
{
  const std::size_t kind = below(3, m_ordersRandom);
  const Duration time = milliseconds(100 + below(1500, m_ordersRandom));
  std::string text = "store, kind " + std::to_string(kind) + ',';
  for (const Daemon& daemon : m_daemons) {
    if (below(2, m_ordersRandom) == 0)
      continue;
    text += ' ' + daemon.host;
    LoopbackProxy* store = daemon.store.get();
    if (kind == 0) {
      store->resetSome([] { return true; }, below(2, m_ordersRandom) == 0);
    } else if (kind == 1) {
      store->setClosed(true);
      store->reset();
      later(time, [store] { store->setClosed(false); });
    } else {
      store->setOwnDelays([this]() -> Duration {
        return milliseconds(minDelayMs + below(maxDelayMs, m_ordersRandom));
      });
      later(time, [store] { store->setOwnDelays(nullptr); });
    }
  }
  struck(text + ", for" + inMs(time));
}

void
Soak::noteOrder(const std::string& source,
                const std::string& bytes,
                Duration heldFor)
{
  const std::uint64_t token = numberOf(bytes, "fencing_token");
  if (token == 0)
    return;
  m_senders[token] = source;
  const std::string task = textOf(bytes, "task");
  if (bytes.rfind("POST /v1/run-start ", 0) == 0 && !task.empty())
    m_starts[nameOf(task, numberOf(bytes, "run"))] = { source, heldFor };
}

std::string
Soak::describeStart(std::uint64_t token, const RunKey& key) const
{
  std::string text;
  const auto sender = m_senders.find(token);
  if (sender != m_senders.end())
    text += " of " + sender->second;
  const auto start = m_starts.find(nameOf(key.task(), key.run()));
  if (start != m_starts.end())
    text += ", from " + start->second.source + ", held up" +
            inMs(start->second.heldFor);
  return text;
}

} // namespace cowslippin::testing
