#include "settingsreader.h"

#include "commandline.h"
#include "settingspec.h"

#include <algorithm>
#include <sstream>

#include <unistd.h>

namespace cowslippin {

namespace {

constexpr std::string_view variablePrefix = "COWSLIPPIN_";
constexpr std::string_view clientVariable = "COWSLIPPIN_DAEMON";
constexpr int minHeartbeatsInSilence = 2;

std::string
helpText()
{
  std::ostringstream text;
  text << "Usage: cowslippind --vm-id ID --zone ZONE --platform ADDRESS "
          "[--SETTING VALUE]...\n\n"
       << "Each setting is also read from the environment: --http-listen from "
          "COWSLIPPIN_HTTP_LISTEN.\nA flag goes before its variable.\n\n"
       << flagDescriptions();
  return text.str();
}

Problem
missing(const SettingSpec& spec)
{
  const std::string flag = flagName(spec.name);
  const std::string allowed =
    "a value by this flag or by " + variableName(spec.name);
  return Problem(ProblemKind::InvalidField,
                 RunState::NotRun,
                 flag + " is missing; allowed is " + allowed)
    .withField(flag, "", allowed);
}

bool
isWildcard(const Address& address)
{
  return address.host() == "0.0.0.0" || address.host() == "::";
}

std::string
millisecondsText(Duration duration)
{
  using std::chrono::milliseconds;
  return std::to_string(
    std::chrono::duration_cast<milliseconds>(duration).count());
}

std::string
secondsText(Duration duration)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(duration);
  return std::to_string(seconds.count());
}

/// Gathers settings and problems in one pass over every source.
class Reader
{
public:
  void readFlags(const CommandLine& commandLine);
  void readVariable(const std::string& variable);
  void applyDefaults();
  void checkTogether();
  SettingsOutcome outcome() const;

private:
  bool isGiven(const std::string& name) const;
  void store(const SettingSource& source);
  void addProblem(const std::string& field,
                  const std::string& value,
                  const std::string& allowed);
  void resolveAdvertised(const std::string& advertisedName,
                         Address& advertised,
                         const Address& listen);
  void checkListenAddresses();
  void checkPeerSilence();
  void checkLogRetention();

  DaemonSettings::Fields m_fields;
  std::vector<SettingSource> m_given;
  SettingsProblems m_problems;
};

void
Reader::readFlags(const CommandLine& commandLine)
{
  m_problems = commandLine.problems();
  for (const SettingSource& source : commandLine.settings()) {
    store(source);
  }
}

void
Reader::readVariable(const std::string& variable)
{
  const std::size_t equals = variable.find('=');
  const std::string name = variable.substr(0, equals);
  if (name.compare(0, variablePrefix.size(), variablePrefix) != 0 ||
      name == clientVariable) {
    return;
  }
  const std::string text =
    equals == std::string::npos ? "" : variable.substr(equals + 1);
  for (const SettingSpec& spec : settingSpecs()) {
    if (variableName(spec.name) == name) {
      if (!isGiven(spec.name)) {
        store({ spec.name, name, text });
      }
      return;
    }
  }
  addProblem(name, text, "one of the variables of --help");
}

void
Reader::applyDefaults()
{
  for (const SettingSpec& spec : settingSpecs()) {
    if (isGiven(spec.name)) {
      continue;
    }
    if (spec.isRequired) {
      m_problems.push_back(missing(spec));
    } else if (!spec.defaultText.empty()) {
      spec.store(spec.defaultText, m_fields);
    }
  }
}

void
Reader::checkTogether()
{
  resolveAdvertised("advertised-http-address",
                    m_fields.advertisedHttpAddress,
                    m_fields.httpListen);
  resolveAdvertised("advertised-peer-address",
                    m_fields.advertisedPeerAddress,
                    m_fields.peerListen);
  checkListenAddresses();
  checkPeerSilence();
  checkLogRetention();
}

SettingsOutcome
Reader::outcome() const
{
  if (!m_problems.empty()) {
    return m_problems;
  }
  return DaemonSettings(m_fields);
}

bool
Reader::isGiven(const std::string& name) const
{
  return std::any_of(
    m_given.begin(), m_given.end(), [&](const SettingSource& source) {
      return source.name() == name;
    });
}

void
Reader::store(const SettingSource& source)
{
  m_given.push_back(source);
  const SettingSpec* spec = findSettingSpec(source.name());
  const std::string allowed = spec->store(source.text(), m_fields);
  if (!allowed.empty()) {
    addProblem(source.givenAs(), source.text(), allowed);
  }
}

void
Reader::addProblem(const std::string& field,
                   const std::string& value,
                   const std::string& allowed)
{
  m_problems.push_back(Problem::invalidField(field, value, allowed));
}

void
Reader::resolveAdvertised(const std::string& advertisedName,
                          Address& advertised,
                          const Address& listen)
{
  if (!isGiven(advertisedName)) {
    advertised = listen;
  }
  if (isWildcard(advertised)) {
    addProblem(flagName(advertisedName),
               advertised.toString(),
               "one address of this VM, which must be given when the daemon "
               "listens on all of them");
  }
}

void
Reader::checkListenAddresses()
{
  if (m_fields.httpListen == m_fields.peerListen &&
      m_fields.httpListen.port() != 0) {
    addProblem("--peer-listen",
               m_fields.peerListen.toString(),
               "an address other than that of --http-listen");
  }
}

void
Reader::checkPeerSilence()
{
  const Duration least = m_fields.heartbeatInterval * minHeartbeatsInSilence;
  // A value that was refused has been reported already and is still 0.
  const bool isRefused = m_fields.peerSilence == Duration(0);
  if (isRefused || m_fields.peerSilence >= least) {
    return;
  }
  addProblem("--peer-silence-ms",
             millisecondsText(m_fields.peerSilence),
             "at least twice --heartbeat-interval-ms, which makes " +
               millisecondsText(least));
}

void
Reader::checkLogRetention()
{
  // A value that was refused has been reported already and is still 0.
  if (m_fields.logRetention == Duration(0)) {
    return;
  }
  const std::string retention = secondsText(m_fields.logRetention);
  if (m_fields.claimWindow > m_fields.logRetention) {
    addProblem("--claim-window",
               secondsText(m_fields.claimWindow),
               "at most --log-retention, which is " + retention);
  }
  if (2 * m_fields.configSnapshotInterval > m_fields.logRetention) {
    addProblem("--config-snapshot-interval-ms",
               millisecondsText(m_fields.configSnapshotInterval),
               "at most half of --log-retention, which is " + retention + " s");
  }
}

} // namespace

SettingsOutcome
readDaemonSettings(const std::vector<std::string>& arguments,
                   const std::vector<std::string>& environment)
{
  const CommandLine commandLine(arguments);
  if (commandLine.asksForHelp()) {
    return HelpText(helpText());
  }
  Reader reader;
  reader.readFlags(commandLine);
  for (const std::string& variable : environment) {
    reader.readVariable(variable);
  }
  reader.applyDefaults();
  reader.checkTogether();
  return reader.outcome();
}

std::vector<std::string>
processEnvironment()
{
  std::vector<std::string> variables;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.emplace_back(*variable);
  }
  return variables;
}

} // namespace cowslippin
