#include "jasminehatch/detail/settings/daemon_settings.h"

#include <array>
#include <limits>

#include "jasminehatch/detail/ini/ini_document.h"
#include "jasminehatch/detail/settings/field_table.h"

namespace jasminehatch::codec {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

using DaemonField = Field<DaemonSettings>;

/// Memory below which a daemon does not run, and above which a value is a
/// mistake, in bytes.
constexpr std::size_t kMinMemory = 32'000'000;
constexpr std::size_t kMaxMemory = 1'000'000'000'000;

constexpr std::array kDaemonFields{
    DaemonField{
        "name",
        [](const FieldReader& r, DaemonSettings& s) { s.name = r.Text(); },
        true, "", "name of this daemon, unique among all daemons"},
    DaemonField{
        "zone",
        [](const FieldReader& r, DaemonSettings& s) { s.zone = r.Text(); },
        true, "", "availability zone of this entry VM"},
    DaemonField{
        "address",
        [](const FieldReader& r, DaemonSettings& s) { s.address = r.Text(); },
        false, "127.0.0.1", "IP address to listen on"},
    DaemonField{"port",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.port = static_cast<std::uint16_t>(r.Integer(0, 65535));
                },
                true, "", "TCP port to listen on; 0 lets the kernel choose"},
    DaemonField{"body_limit",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.body_limit = r.Integer(1024, 1UL << 30U);
                },
                false, "8388608", "maximum size of a request body, in bytes"},
    DaemonField{"unsent_limit",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.unsent_limit = r.Integer(1024, 1UL << 30U);
                },
                false, "4194304",
                "maximum bytes of a streamed response buffered for a slow "
                "caller; beyond it the stream is ended with an error"},
    DaemonField{
        "read_timeout",
        [](const FieldReader& r, DaemonSettings& s) {
          s.read_timeout = r.Duration(milliseconds(100), hours(1));
        },
        false, "60s",
        "time limit for receiving a request, and for an idle connection"},
    DaemonField{"stop_delay",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.stop_delay = r.Duration(milliseconds(0), minutes(10));
                },
                false, "2s",
                "time at shutdown from when the daemon reports that it is not "
                "ready until it refuses new requests"},
    DaemonField{"memory",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.memory = r.Bytes(kMinMemory, kMaxMemory);
                },
                false, "as the operating system reports",
                "memory of the VM, with a unit (for example `512MB`); "
                "callers together can take a third of it"},
};

constexpr std::array kPlatformFields{
    DaemonField{
        "log_url",
        [](const FieldReader& r, DaemonSettings& s) { s.log_url = r.Text(); },
        true, "", "base URL of the log service"},
    DaemonField{"log_timeout",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.log_timeout = r.Duration(milliseconds(10), minutes(1));
                },
                false, "2s", "timeout of an append to the log"},
    DaemonField{
        "vm_list_url",
        [](const FieldReader& r, DaemonSettings& s) {
          s.vm_list_url = r.Text();
        },
        false, "",
        "URL of the VM list; without it, leaving upstreams are announced "
        "only by operators and by the upstreams themselves"},
};

constexpr std::array kUpstreamFields{
    DaemonField{"load_interval",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.load_interval = r.Duration(milliseconds(10), minutes(1));
                },
                false, "200ms", "time between load queries to an upstream"},
    DaemonField{
        "first_byte_timeout",
        [](const FieldReader& r, DaemonSettings& s) {
          s.first_byte_timeout = r.Duration(milliseconds(100), hours(1));
        },
        false, "120s", "maximum wait for the first token of an attempt"},
    DaemonField{"idle_timeout",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.idle_timeout = r.Duration(seconds(1), hours(1));
                },
                false, "30s", "maximum time without data within a response"},
    DaemonField{"dispatch_timeout",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.dispatch_timeout = r.Duration(milliseconds(100), hours(1));
                },
                false, "10s",
                "maximum wait for an upstream's response to a booking"},
};

constexpr std::array kRoutingFields{
    DaemonField{"ttft_weight",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.serving.ttft_weight = r.Number(0, 1000);
                },
                false, "1",
                "routing cost per second of expected time to first token"},
    DaemonField{"recompute_weight",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.serving.recompute_weight = r.Number(0, 1000);
                },
                false, "0", "routing cost per 1,000 recomputed prompt tokens"},
    DaemonField{"link_weight",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.serving.link_weight = r.Number(0, 1000);
                },
                false, "0",
                "routing cost per megabyte transferred over a store link"},
    DaemonField{
        "queue_limit",
        [](const FieldReader& r, DaemonSettings& s) {
          s.serving.queue_limit = r.Integer(0, 1'000'000);
        },
        false, "256",
        "maximum number of new requests for one model and weight version "
        "that wait in this daemon"},
    DaemonField{"max_attempts",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.serving.max_attempts =
                      static_cast<std::uint32_t>(r.Integer(1, 100));
                },
                false, "4",
                "maximum number of attempts of a request, including the first"},
    DaemonField{"retry_share",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.serving.retry_share = r.Number(0, 1);
                },
                false, "0.1", "retries allowed per first attempt"},
};

constexpr std::array kBookingFields{
    DaemonField{"batch_interval",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.booking.batch_interval =
                      r.Duration(milliseconds(0), seconds(10));
                },
                false, "10ms",
                "time for which log entries are collected before they are "
                "appended as one record"},
    DaemonField{"claim_time",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.booking.claim_time =
                      r.Duration(milliseconds(10), minutes(10));
                },
                false, "5s",
                "time within which an intent must be dispatched; after it the "
                "intent is voided"},
    DaemonField{
        "outcome_wait",
        [](const FieldReader& r, DaemonSettings& s) {
          s.booking.outcome_wait = r.Duration(milliseconds(10), minutes(10));
        },
        false, "10s",
        "maximum time for which a repeated booking waits for the outcome "
        "of the first"},
    DaemonField{
        "key_window",
        [](const FieldReader& r, DaemonSettings& s) {
          s.booking.key_window = std::chrono::duration_cast<seconds>(
              r.Duration(minutes(1), hours(24 * 30)));
        },
        false, "24h",
        "maximum age of an accepted idempotency key; the log must retain "
        "records for longer"},
};

constexpr std::array kConfigurationFields{
    DaemonField{"stale_after",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.config.stale_after =
                      r.Duration(milliseconds(100), hours(1));
                },
                false, "5s",
                "time without a read to the end of the log, or newer records "
                "from a peer, after which the configuration is marked stale"},
    DaemonField{"log_silence",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.config.log_silence = r.Duration(milliseconds(50), hours(1));
                },
                false, "2500ms",
                "time without a response from the log after which records are "
                "requested from peers; must exceed the 1s of a long poll"},
    DaemonField{"snapshot_records",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.config.snapshot_records = r.Integer(16, 1'000'000);
                },
                false, "1024",
                "number of records after a snapshot at which the next one is "
                "written; the log must retain several times as many"},
    DaemonField{"snapshot_age",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.config.snapshot_age = std::chrono::duration_cast<seconds>(
                      r.Duration(minutes(1), hours(24 * 30)));
                },
                false, "8h",
                "age of a snapshot at which the next one is written; at most "
                "a third of the log's retention"},
};

constexpr std::array kMembershipFields{
    DaemonField{"probe_interval",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.membership.probe_interval =
                      r.Duration(milliseconds(10), minutes(1));
                },
                false, "2s", "interval between rounds of probes"},
    DaemonField{"probes_per_interval",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.membership.probes_per_interval =
                      static_cast<std::uint32_t>(r.Integer(1, 100));
                },
                false, "2", "number of peers probed in each round"},
    DaemonField{"suspect_time",
                [](const FieldReader& r, DaemonSettings& s) {
                  s.membership.suspect_time =
                      r.Duration(milliseconds(100), minutes(10));
                },
                false, "10s",
                "time after which a suspected process is declared dead"},
};

using PeerField = Field<PeerSettings>;

constexpr std::array kPeerFields{
    PeerField{"zone",
              [](const FieldReader& r, PeerSettings& p) { p.zone = r.Text(); },
              true, "", "availability zone of the peer"},
    PeerField{"url",
              [](const FieldReader& r, PeerSettings& p) { p.url = r.Text(); },
              true, "", "base URL of the peer"},
};

struct SectionTable {
  std::string_view kind;
  std::span<const DaemonField> fields;
};

constexpr std::array kSections{
    SectionTable{"daemon", kDaemonFields},
    SectionTable{"platform", kPlatformFields},
    SectionTable{"upstreams", kUpstreamFields},
    SectionTable{"routing", kRoutingFields},
    SectionTable{"bookings", kBookingFields},
    SectionTable{"configuration", kConfigurationFields},
    SectionTable{"membership", kMembershipFields},
};

template <typename Target>
void AppendDocumentation(std::string_view kind,
                         std::span<const Field<Target>> fields,
                         std::string& text) {
  for (const Field<Target>& field : fields) {
    text += "| `[" + std::string(kind) + "]` | `" + std::string(field.key) +
            "` | " +
            (field.required ? "required" : std::string(field.default_text)) +
            " | " + std::string(field.description) + " |\n";
  }
}

}  // namespace

DaemonSettings DaemonSettings::Read(const IniDocument& document) {
  DaemonSettings settings;
  for (const IniSection& section : document.sections) {
    if (section.kind == "peer" && !section.name.empty()) {
      PeerSettings peer;
      peer.name = section.name;
      ReadSection<PeerSettings>(document, section, kPeerFields, peer);
      settings.peers.push_back(std::move(peer));
      continue;
    }
    const auto table = std::find_if(
        kSections.begin(), kSections.end(),
        [&](const SectionTable& t) { return t.kind == section.kind; });
    if (table == kSections.end() || !section.name.empty()) {
      throw SettingsError(
          103, document.Location(section.line) + ": unknown section [" +
                   section.kind +
                   "]; allowed: daemon, platform, upstreams, "
                   "routing, bookings, configuration, membership, "
                   "peer NAME");
    }
    ReadSection<DaemonSettings>(document, section, table->fields, settings);
  }
  for (const std::string_view kind : {"daemon", "platform"}) {
    if (std::none_of(
            document.sections.begin(), document.sections.end(),
            [&](const IniSection& section) { return section.kind == kind; })) {
      throw SettingsError(106, document.file + ": needs the section [" +
                                   std::string(kind) + "]");
    }
  }
  return settings;
}

std::string DaemonSettings::Documentation() {
  std::string text =
      "| section | key | default | meaning |\n|---|---|---|---|\n";
  for (const SectionTable& table : kSections) {
    AppendDocumentation(table.kind, table.fields, text);
  }
  AppendDocumentation<PeerSettings>("peer NAME", kPeerFields, text);
  return text;
}

}  // namespace jasminehatch::codec
