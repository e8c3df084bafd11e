// The kinds of logged events, by which operators filter and alert. docs/operators/logs.md describes each kind
// with its level and its fields; a unit test compares the page with kAllEventKinds.
//
// A kind names an object and what happened to it. This file must contain only constants, because the fleet's
// library includes it too.
#ifndef WALNUTSPUR_LOG_EVENT_KINDS_H_
#define WALNUTSPUR_LOG_EVENT_KINDS_H_

#include <array>
#include <string_view>

namespace walnutspur::log {

// The process.
constexpr std::string_view kConfigurationRejected = "configuration_rejected";
constexpr std::string_view kConfigurationReloaded = "configuration_reloaded";
constexpr std::string_view kControlSocketFailed = "control_socket_failed";
constexpr std::string_view kClientsHandedOver = "clients_handed_over";
constexpr std::string_view kHandoverFailed = "handover_failed";
constexpr std::string_view kHandoverListRejected = "handover_list_rejected";
constexpr std::string_view kProcessCountChanged = "process_count_changed";

// Memory that clients, targets and discovery make the process hold.
constexpr std::string_view kMemoryLimitReached = "memory_limit_reached";
constexpr std::string_view kTableLimitReached = "table_limit_reached";

// Discovery.
constexpr std::string_view kDiscoveryWatchEnded = "discovery_watch_ended";
constexpr std::string_view kEndpointListReceived = "endpoint_list_received";
constexpr std::string_view kEndpointListRejected = "endpoint_list_rejected";

// Digests of requests and responses over HTTP.
constexpr std::string_view kRequestCorrupted = "request_corrupted";
constexpr std::string_view kResponseCorrupted = "response_corrupted";

// Checksummed exports, the corruption log and the scrub.
constexpr std::string_view kCorruptionAttributed = "corruption_attributed";
constexpr std::string_view kCorruptionLogRejected = "corruption_log_rejected";
constexpr std::string_view kDirectoryWritable = "directory_writable";
constexpr std::string_view kDirectoryWriteFailed = "directory_write_failed";
constexpr std::string_view kExportAttachFailed = "export_attach_failed";
constexpr std::string_view kScrubRestarted = "scrub_restarted";
constexpr std::string_view kTargetRejected = "target_rejected";

// Clients over NBD.
constexpr std::string_view kNbdClientEnded = "nbd_client_ended";

// The fleet.
constexpr std::string_view kFleetConvergenceChanged = "fleet_convergence_changed";
constexpr std::string_view kFleetMemberChanged = "fleet_member_changed";
constexpr std::string_view kFleetNameRejected = "fleet_name_rejected";

inline constexpr std::array kAllEventKinds = {
    kConfigurationRejected, kControlSocketFailed,   kDiscoveryWatchEnded,     kEndpointListReceived,
    kEndpointListRejected,  kRequestCorrupted,      kResponseCorrupted,       kCorruptionAttributed,
    kCorruptionLogRejected, kDirectoryWritable,     kDirectoryWriteFailed,    kExportAttachFailed,
    kScrubRestarted,        kTargetRejected,        kFleetConvergenceChanged, kFleetMemberChanged,
    kFleetNameRejected,     kConfigurationReloaded, kClientsHandedOver,       kHandoverFailed,
    kHandoverListRejected,  kProcessCountChanged,   kNbdClientEnded,          kMemoryLimitReached,
    kTableLimitReached};

}  // namespace walnutspur::log

#endif  // WALNUTSPUR_LOG_EVENT_KINDS_H_
