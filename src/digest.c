/*
 * Periodically sends this host's digest to its peers. The digest is also the
 * host's heartbeat.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define Fv_DIGEST_INTERVAL_MS 500
/* Traffic between regions is billed by volume, so other regions get only every
 * fourth digest. */
#define Fv_DIGEST_REMOTE_EVERY_NTH 4
/* Keeps a digest below 1,024 bytes; the next digests carry the remaining
 * members. */
#define Fv_DIGEST_MEMBERS_MAX 12

struct fv_digest_sender {
    fv_daemon_t *daemon;
    fv_timer_t timer;
    uint64_t count;
    uint32_t next_member; /* index of the first contract to report */
};

static bool
add_member_usage(fv_host_digest_t *digest, const fv_shares_t *shares,
                 const char *member)
{
    fv_resources_t used = {0};

    FvShares_LocalUsage(shares, member, &used);
    FvText_Copy(digest->usage[digest->usage_count].member, Fv_NAME_SIZE,
                member);
    digest->usage[digest->usage_count].used = used;
    digest->usage_count++;
    return digest->usage_count < Fv_DIGEST_MEMBERS_MAX;
}

/* Reports the members round-robin: each is included again within
 * members / Fv_DIGEST_MEMBERS_MAX digests. */
static void
fill_member_usage(fv_digest_sender_t *sender, fv_host_digest_t *digest)
{
    const fv_config_t *config;
    uint32_t count;
    uint32_t reported = 0;

    digest->usage_count = 0;
    rcu_read_lock();
    config = FvConfig_GetActive();
    count = config ? config->contract_count : 0;
    while (reported < count) {
        uint32_t index = (sender->next_member + reported) % count;

        reported++;
        if (!add_member_usage(digest, sender->daemon->shares,
                              config->contracts[index].member)) {
            break;
        }
    }
    rcu_read_unlock();
    sender->next_member = count ? (sender->next_member + reported) % count : 0;
}

static void
fill_digest(fv_digest_sender_t *sender, fv_host_digest_t *digest)
{
    fv_daemon_t *daemon = sender->daemon;
    int64_t now_ms = FvClock_NowMs();

    digest->config_version = FvConfig_ActiveVersion();
    digest->draining = atomic_load(&daemon->draining);
    digest->received_ms = now_ms;
    FvRunner_QueueCounts(daemon->runner, digest->queued);
    FvHolder_Summarize(daemon->holder, digest);
    FvPlacement_Summarize(daemon->holder->placement, digest, now_ms);
    fill_member_usage(sender, digest);
}

static void
send_digests(void *owner)
{
    fv_digest_sender_t *sender = owner;
    fv_daemon_t *daemon = sender->daemon;
    fv_message_t message = {.type = Fv_MESSAGE_DIGEST};
    bool send_remote = sender->count++ % Fv_DIGEST_REMOTE_EVERY_NTH == 0;

    fill_digest(sender, &daemon->self->digest);
    message.body.digest = &daemon->self->digest;
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];
        bool same_region = strcmp(host->region, daemon->self->region) == 0;

        if (host != daemon->self && (same_region || send_remote)) {
            FvPeers_Notify(daemon->peers, host->name, &message);
        }
    }
    FvLoop_SetTimer(daemon->loop, &sender->timer,
                    FvClock_NowMs() + Fv_DIGEST_INTERVAL_MS);
}

/**
 * FvDigestSender_New - start sending digests periodically
 * @daemon: the daemon
 *
 * Return: the sender, or NULL when memory is exhausted.
 */
fv_digest_sender_t *
FvDigestSender_New(fv_daemon_t *daemon)
{
    fv_digest_sender_t *sender = calloc(1, sizeof(*sender));

    if (sender == NULL) {
        return NULL;
    }
    sender->daemon = daemon;
    sender->timer.fire = send_digests;
    sender->timer.owner = sender;
    FvLoop_SetTimer(daemon->loop, &sender->timer, FvClock_NowMs());
    return sender;
}

/**
 * FvDigestSender_Free - release the sender
 * @sender: the sender, or NULL
 */
void
FvDigestSender_Free(fv_digest_sender_t *sender)
{
    free(sender);
}
