/*
 * Fake of kv-client.c, linked in its place. Calls are kept in a list; the test
 * answers them in any order or not at all.
 */

#ifndef FAKE_KV_H
#define FAKE_KV_H

#include "entry.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define FAKE_KV_CALLS_MAX 64
#define FAKE_KV_PUTS_MAX 32

typedef enum fake_kv_kind {
    FAKE_KV_GET,
    FAKE_KV_RANGE,
    FAKE_KV_TXN,
    FAKE_KV_GRANT,
    FAKE_KV_RENEW
} fake_kv_kind_t;

typedef struct fake_kv_put {
    char key[Fv_KEY_SIZE];
    char value[Fv_URL_SIZE];
    bool removed;
} fake_kv_put_t;

typedef struct fake_kv_call {
    fake_kv_kind_t kind;
    char expected_key[Fv_KEY_SIZE]; /* the first condition */
    int64_t expected_revision;
    int64_t timeout_ms;
    uint32_t put_count;
    fake_kv_put_t puts[FAKE_KV_PUTS_MAX];
    fv_kv_done_t done;
    void *context;
    bool answered;
} fake_kv_call_t;

static struct {
    uint32_t count;
    fake_kv_call_t calls[FAKE_KV_CALLS_MAX];
    int64_t granted_ttl_ms;
    uint32_t revoke_count;
    int64_t revoked_lease;
    fv_kv_watcher_t watcher;
} fake_kv;

static inline void
fake_kv_reset(void)
{
    memset(&fake_kv, 0, sizeof(fake_kv));
}

static inline fake_kv_call_t *
fake_kv_add(fake_kv_kind_t kind, fv_kv_done_t done, void *context)
{
    fake_kv_call_t *call;

    CU_ASSERT_FATAL(fake_kv.count < FAKE_KV_CALLS_MAX);
    call = &fake_kv.calls[fake_kv.count++];
    *call = (fake_kv_call_t){.kind = kind, .done = done, .context = context};
    return call;
}

static inline uint32_t
fake_kv_count(fake_kv_kind_t kind)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < fake_kv.count; i++) {
        count += fake_kv.calls[i].kind == kind;
    }
    return count;
}

static inline fake_kv_call_t *
fake_kv_latest(fake_kv_kind_t kind)
{
    for (uint32_t i = fake_kv.count; i-- > 0;) {
        if (fake_kv.calls[i].kind == kind) {
            return &fake_kv.calls[i];
        }
    }
    CU_FAIL_FATAL("no call of this kind was made");
    abort();
}

static inline void
fake_kv_answer(fake_kv_call_t *call, fv_kv_result_t result)
{
    CU_ASSERT_FALSE(call->answered);
    call->answered = true;
    call->done(call->context, &result);
}

/* Answers with one item, as for a read or a conflict. */
static inline void
fake_kv_answer_item(fake_kv_call_t *call, fv_kv_error_t error, const char *key,
                    const char *value, int64_t revision)
{
    fv_kv_item_t item = {.key = (char *)key,
                         .value = {.data = (uint8_t *)value,
                                   .length = strlen(value),
                                   .capacity = strlen(value) + 1},
                         .revision = revision};

    fake_kv_answer(call,
                   (fv_kv_result_t){.error = error,
                                    .items = {.count = 1, .items = &item}});
}

/* Runs the event loop, so that timers of the code under test fire. */
static inline void
fake_kv_run_loop(struct event_base *base, int64_t span_ms)
{
    struct timeval span = {.tv_sec = (time_t)(span_ms / 1000),
                           .tv_usec = (suseconds_t)(span_ms % 1000 * 1000)};

    event_base_loopexit(base, &span);
    event_base_dispatch(base);
}

void
FvKvClient_Get(fv_kv_client_t *kv, const char *key, fv_kv_done_t done,
               void *context)
{
    (void)kv;
    (void)key;
    fake_kv_add(FAKE_KV_GET, done, context);
}

void
FvKvClient_Range(fv_kv_client_t *kv, const char *prefix, const char *after,
                 fv_kv_done_t done, void *context)
{
    (void)kv;
    (void)prefix;
    (void)after;
    fake_kv_add(FAKE_KV_RANGE, done, context);
}

void
FvKvClient_Txn(fv_kv_client_t *kv, const fv_kv_expect_t *expects,
               uint32_t expect_count, const fv_kv_put_t *puts,
               uint32_t put_count, int64_t timeout_ms, fv_kv_done_t done,
               void *context)
{
    fake_kv_call_t *call = fake_kv_add(FAKE_KV_TXN, done, context);

    (void)kv;
    call->timeout_ms = timeout_ms;
    if (expect_count > 0) {
        FvText_Copy(call->expected_key, sizeof(call->expected_key),
                    expects[0].key);
        call->expected_revision = expects[0].revision;
    }
    CU_ASSERT_FATAL(put_count <= FAKE_KV_PUTS_MAX);
    call->put_count = put_count;
    for (uint32_t i = 0; i < put_count; i++) {
        FvText_Copy(call->puts[i].key, sizeof(call->puts[i].key), puts[i].key);
        snprintf(call->puts[i].value, sizeof(call->puts[i].value), "%.*s",
                 (int)puts[i].length,
                 puts[i].value ? (const char *)puts[i].value : "");
        call->puts[i].removed = puts[i].value == NULL;
    }
}

void
FvKvClient_Grant(fv_kv_client_t *kv, int64_t ttl_ms, fv_kv_done_t done,
                 void *context)
{
    (void)kv;
    fake_kv.granted_ttl_ms = ttl_ms;
    fake_kv_add(FAKE_KV_GRANT, done, context);
}

void
FvKvClient_Renew(fv_kv_client_t *kv, int64_t lease, fv_kv_done_t done,
                 void *context)
{
    (void)kv;
    (void)lease;
    fake_kv_add(FAKE_KV_RENEW, done, context);
}

void
FvKvClient_Revoke(fv_kv_client_t *kv, int64_t lease)
{
    (void)kv;
    fake_kv.revoked_lease = lease;
    fake_kv.revoke_count++;
}

fv_kv_watch_t *
FvKvClient_Watch(fv_kv_client_t *kv, const fv_kv_watcher_t *watcher)
{
    (void)kv;
    fake_kv.watcher = *watcher;
    return NULL;
}

int64_t
FvKvClient_WatchAgeMs(const fv_kv_watch_t *watch, int64_t now_ms)
{
    (void)watch;
    (void)now_ms;
    return 0;
}

void
FvKvClient_CancelWatch(fv_kv_watch_t *watch)
{
    (void)watch;
}

#endif
