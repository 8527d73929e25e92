/*
 * An election at a fake store, and what it told its owner.
 */

#ifndef ELECTION_FIXTURE_H
#define ELECTION_FIXTURE_H

#include "fake_kv.h"

#include <stdio.h>

#define TTL_MS 1300

typedef struct outcome {
    uint32_t won;
    uint32_t lost;
    uint32_t store_failing;
    uint64_t renewed; /* number of the latest renewal that succeeded */
    int64_t renewed_sent_ms;
    int64_t epoch;
    int32_t generation;
} outcome_t;

static outcome_t outcome;
static struct event_base *base;
static fv_election_t *election;
static const fv_entry_settings_t settings = {.host = "akl-1",
                                             .address = "127.0.0.1",
                                             .link_port = 1,
                                             .cpu_cores = 1,
                                             .memory_mb = 260};

static inline void
won(void *context, int64_t epoch, int32_t generation)
{
    (void)context;
    outcome.won++;
    outcome.epoch = epoch;
    outcome.generation = generation;
}

static inline void
lost(void *context, const char *cause)
{
    (void)context;
    (void)cause;
    outcome.lost++;
}

static inline void
store_failing(void *context, int64_t sent_ago_ms)
{
    (void)context;
    (void)sent_ago_ms;
    outcome.store_failing++;
}

static inline void
renewed(void *context, uint64_t renewal, int64_t sent_ms)
{
    (void)context;
    outcome.renewed = renewal;
    outcome.renewed_sent_ms = sent_ms;
}

static inline void
hosts_changed(void *context)
{
    (void)context;
}

/* Creates an election without a leader; the last one had @generation. */
static inline void
open_election(const char *generation)
{
    fv_kv_item_t item = {
        .key = (char *)Fv_KEY_GENERATION,
        .value = {.data = (uint8_t *)generation, .length = strlen(generation)},
        .revision = 5};

    fake_kv_reset();
    outcome = (outcome_t){0};
    base = event_base_new();
    election = FvElection_New(
        base, NULL, &settings,
        &(fv_election_events_t){.won = won,
                                .lost = lost,
                                .store_failing = store_failing,
                                .renewed = renewed,
                                .hosts_changed = hosts_changed});
    fake_kv.watcher.begin(fake_kv.watcher.context);
    fake_kv.watcher.item(fake_kv.watcher.context, &item);
    fake_kv.watcher.loaded(fake_kv.watcher.context);
}

static inline void
close_election(void)
{
    FvElection_Free(election);
    event_base_free(base);
}

/* Runs until this host has sent its claim. Returns the transaction. */
static inline fake_kv_call_t *
send_claim(void)
{
    fake_kv_run_loop(base, 350);
    fake_kv_answer(
        fake_kv_latest(FAKE_KV_GRANT),
        (fv_kv_result_t){.error = Fv_KV_OK, .lease = 7, .ttl_ms = TTL_MS});
    return fake_kv_latest(FAKE_KV_TXN);
}

#endif
