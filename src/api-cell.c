/*
 * HTTP handlers that report the state of the cell: hosts, workers, shares and
 * usage.
 */

#include "daemon.h"

static json_t *
describe_host(const fv_daemon_t *daemon, const fv_host_t *host)
{
    int64_t now_ms = FvClock_NowMs();
    bool self = host == daemon->self;

    return json_pack(
        "{s:s, s:s, s:s, s:b, s:b, s:b, s:I, s:I, s:i, s:o}", "name",
        host->name, "region", host->region, "data_center", host->data_center,
        "alive", (int)FvHost_IsAlive(host, daemon->self, now_ms), "listed",
        (int)host->listed, "draining", (int)host->digest.draining,
        "heard_ms_ago", (json_int_t)(self ? 0 : now_ms - host->last_heard_ms),
        "config_version", (json_int_t)host->digest.config_version, "workers",
        (int)host->digest.workers, "free",
        FvResources_ToJson(&host->digest.free_total));
}

/**
 * FvApiCell_Hosts - GET /v1/hosts
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiCell_Hosts(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        json_array_append_new(list,
                              describe_host(daemon, daemon->hosts.entries[i]));
    }
    FvTicket_ReplyJson(ticket, 200, json_pack("{s:o}", "hosts", list));
}

/**
 * FvApiCell_Workers - GET /v1/workers
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiCell_Workers(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    FvTicket_ReplyJson(ticket, 200,
                       json_pack("{s:s, s:o}", "host", daemon->settings.host,
                                 "workers", FvHolder_ToJson(daemon->holder)));
}

/**
 * FvApiCell_Shares - GET /v1/shares
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiCell_Shares(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    FvTicket_ReplyJson(
        ticket, 200,
        json_pack("{s:o}", "shares", FvShares_ToJson(daemon->shares)));
}

/**
 * FvApiCell_Usage - GET /v1/usage
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiCell_Usage(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    FvLedger_ReplyUsage(daemon->ledger, ticket);
}
