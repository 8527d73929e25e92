/*
 * When a new leader takes the leases of earlier leaders for expired, while it
 * may itself be cut off: a later leader may have renewed them.
 */

#include "cell-leader.h"
#include "fake_kv.h"

#define TICKS_MS 200
#define LONG_AGO_MS 60000
#define RANGES 6 /* read at first; progress follows the jobs */
#define WORKER_LIST_RANGE 1
#define UNREACHED_RANGE 4
#define GENERATION 2

static struct event_base *base;
static fv_call_pool_t *pool;
static fv_leader_t *leader;
static const fv_entry_settings_t settings = {.host = "akl-1",
                                             .lease_max_ms = 10000,
                                             .stop_timeout_ms = 900,
                                             .gang_timeout_ms = 3000,
                                             .store_value_max_bytes = 1000000};

static bool
on_may_send_orders(void *context, int64_t time_ms)
{
    (void)context;
    (void)time_ms;
    return false;
}

static int64_t
on_lease_left_ms(void *context, int64_t time_ms)
{
    (void)context;
    (void)time_ms;
    return -1;
}

static int64_t
on_unreached_since(void *context, const char *line)
{
    (void)context;
    (void)line;
    return FvClock_NowMs();
}

static bool
on_is_linked(void *context, const char *host)
{
    (void)context;
    (void)host;
    return false;
}

static bool
on_are_all_linked(void *context)
{
    (void)context;
    return false;
}

static double
on_smallest_memory_mb(void *context)
{
    (void)context;
    return 128;
}

static const fv_cell_config_t *
on_config(void *context)
{
    (void)context;
    return NULL;
}

static void
answer_range(uint32_t index, const char *key, const char *value)
{
    if (value == NULL) {
        fake_kv_answer(&fake_kv.calls[index],
                       (fv_kv_result_t){.error = Fv_KV_OK});
        return;
    }
    fake_kv_answer_item(&fake_kv.calls[index], Fv_KV_OK, key, value, 5);
}

/* Opens a leader whose predecessors stopped long ago. They gave orders to one
 * worker, which does not report.
 * @unreached: the stored list of unreached workers, or NULL */
static void
open_leader(const char *unreached)
{
    char list[] = "akl-9\nw1 127.0.0.1:1 app 0\n";
    char entries[64];

    snprintf(entries, sizeof(entries), "%s", unreached ? unreached : "");
    fake_kv_reset();
    base = event_base_new();
    event_base_priority_init(base, Fv_PRIORITIES);
    pool = FvCallPool_New(base, 8);
    leader = FvLeader_New(
        base, pool, NULL, &settings,
        &(fv_leader_events_t){.may_send_orders = on_may_send_orders,
                              .lease_left_ms = on_lease_left_ms,
                              .unreached_since = on_unreached_since,
                              .is_linked = on_is_linked,
                              .are_all_linked = on_are_all_linked,
                              .smallest_memory_mb = on_smallest_memory_mb,
                              .config = on_config},
        &(fv_predecessor_t){.epoch = 8, .host = "akl-9"}, 9, GENERATION);
    CU_ASSERT_EQUAL_FATAL(fake_kv.count, RANGES);
    for (uint32_t i = 0; i < RANGES; i++) {
        answer_range(
            i, i == UNREACHED_RANGE ? Fv_KEY_UNREACHED : Fv_KEY_WORKER_LIST,
            i == WORKER_LIST_RANGE                      ? list
            : i == UNREACHED_RANGE && unreached != NULL ? entries
                                                        : NULL);
    }
    answer_range(RANGES, NULL, NULL);
    CU_ASSERT_TRUE_FATAL(FvLeader_IsServing(leader));
    CU_ASSERT_EQUAL(HASH_COUNT(leader->sched.workers), 1);
}

static void
close_leader(void)
{
    FvLeader_Free(leader);
    FvCallPool_Free(pool);
    event_base_free(base);
}

/* Returns whether the tasks of earlier leaders may start once the store has
 * confirmed that this host led at a time. */
static bool
are_tasks_free(int64_t led_ms)
{
    FvSched_ConfirmLead(&leader->sched, led_ms);
    fake_kv_run_loop(base, TICKS_MS);
    return !leader->sched.hold_inherited_tasks;
}

/* The store has confirmed this leader until just before the time at which all
 * leases of earlier leaders are over. */
static void
test_leader_cut_off_before_leases_end(void)
{
    int64_t end_ms;

    open_leader(NULL);
    leader->began_ms -= LONG_AGO_MS;
    end_ms = leader->began_ms + FvElection_OrderGraceMs() +
             FvSched_WorstCaseLeaseMs(&leader->sched);
    CU_ASSERT_FALSE(are_tasks_free(0));
    CU_ASSERT_FALSE(are_tasks_free(end_ms - 1));
    CU_ASSERT_TRUE(are_tasks_free(end_ms));
    close_leader();
}

/* The list of unreached workers has had the worker for longer than a lease. A
 * later leader may have taken it off and granted leases again. */
static void
test_leader_cut_off_after_an_unreached_entry(void)
{
    fv_sched_worker_t *worker;
    int64_t end_ms;

    open_leader("w1 7 1\n");
    worker = leader->sched.workers;
    CU_ASSERT_TRUE_FATAL(worker != NULL && worker->unreached);
    if (worker == NULL) {
        abort();
    }
    worker->unreached_since_ms -= LONG_AGO_MS;
    end_ms =
        worker->unreached_since_ms + FvSched_WorstCaseLeaseMs(&leader->sched);
    CU_ASSERT_FALSE(are_tasks_free(0));
    CU_ASSERT_FALSE(are_tasks_free(end_ms - 1));
    CU_ASSERT_TRUE(are_tasks_free(end_ms));
    close_leader();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a new leader that is cut off takes inherited leases for expired",
         test_leader_cut_off_before_leases_end},
        {"a new leader that is cut off trusts an entry of the unreached list "
         "that has been removed",
         test_leader_cut_off_after_an_unreached_entry},
    };

    return Fv_RUN_SUITE("leader_inherited", cases);
}
