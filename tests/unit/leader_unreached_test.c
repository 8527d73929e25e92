/*
 * Which workers a leader enters in the stored list of unreached workers. A
 * successor starts the tasks of such a worker again 4.9 s after the entry.
 */

#include "cell-leader.h"
#include "fake_kv.h"

#define WRITE_MS 50
#define SILENT_MS 1000
#define LONG_LEASE_MS 20000

static struct event_base *base;
static fv_leader_t leader;
static fv_sched_worker_t *worker;
static int64_t now_ms;

static const fv_sched_ops_t ops = {.decode = FvPlatform_DecodeJobSpec,
                                   .record = FvLeaderRecord_Write};
static const fv_entry_settings_t settings = {.host = "akl-1"};

static bool
on_may_send_orders(void *context, int64_t time_ms)
{
    (void)context;
    (void)time_ms;
    return true;
}

static int64_t
on_lease_left_ms(void *context, int64_t time_ms)
{
    (void)context;
    (void)time_ms;
    return 800;
}

static void
on_event(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    (void)context;
}

static void
on_lost(void *context)
{
    (void)context;
}

/* Opens a leader whose predecessors have stopped, with one worker that has
 * been silent for a second and at whose address no process listens. */
static void
open_leader(void)
{
    static const int64_t revisions[Fv_RECORD_STREAMS] = {11};
    const fv_worker_entry_t entry = {
        .id = "w1", .address = "127.0.0.1:1", .service = "app"};

    fake_kv_reset();
    base = event_base_new();
    now_ms = FvClock_NowMs();
    leader = (fv_leader_t){.base = base,
                           .settings = &settings,
                           .events = {.may_send_orders = on_may_send_orders,
                                      .lease_left_ms = on_lease_left_ms},
                           .epoch = 900,
                           .began_ms = now_ms - FvElection_OrderGraceMs(),
                           .serving = true};
    FvSched_Init(&leader.sched, &ops,
                 &(fv_sched_timeouts_t){.lease_ms = 4500,
                                        .lease_max_ms = 10000,
                                        .stop_max_ms = 900});
    leader.pass_timer = event_new(base, -1, 0, on_event, NULL);
    leader.records = FvRecordWriter_New(
        base, NULL,
        &(fv_records_owner_t){
            .epoch = 900, .retention_ms = 180000, .lost = on_lost},
        revisions);
    worker = FvSched_UpdateWorker(&leader.sched, &entry, now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
    if (worker == NULL) {
        abort();
    }
    worker->in_worker_list = true;
    worker->last_contact_ms = now_ms - SILENT_MS;
    worker->lease_expires_ms = now_ms + 3900;
    FvSched_ReportUnanswered(&leader.sched, worker, now_ms - SILENT_MS);
    worker->refused = true;
}

static void
close_leader(void)
{
    for (uint32_t i = 0; i < fake_kv.count; i++) {
        if (!fake_kv.calls[i].answered) {
            fake_kv_answer(&fake_kv.calls[i],
                           (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
        }
    }
    FvRecordWriter_Free(leader.records);
    FvSched_Clear(&leader.sched);
    event_free(leader.pass_timer);
    event_base_free(base);
}

/* Returns whether the worker is entered, and checks what is written. */
static bool
is_entered(void)
{
    const fake_kv_call_t *write;

    FvLeaderUnreached_Check(&leader, now_ms);
    fake_kv_run_loop(base, WRITE_MS);
    write =
        fake_kv_count(FAKE_KV_TXN) > 0 ? fake_kv_latest(FAKE_KV_TXN) : NULL;
    CU_ASSERT_EQUAL(write != NULL &&
                        strncmp(write->puts[0].value, "w1 ", 3) == 0,
                    worker->unreached);
    return worker->unreached;
}

static void
test_worker_without_a_process(void)
{
    open_leader();
    CU_ASSERT_TRUE(is_entered());
    close_leader();
}

/* The worker may be reached again while the store is away, and gets no lease
 * as long as the list has it. */
static void
test_worker_with_runs_to_lose(void)
{
    open_leader();
    worker->refused = false;
    CU_ASSERT_FALSE(is_entered());
    worker->lease_expires_ms = now_ms - 1;
    CU_ASSERT_TRUE(is_entered());
    close_leader();

    open_leader();
    worker->refused = false;
    FvSched_WorkerUnlisted(worker, now_ms);
    CU_ASSERT_TRUE(is_entered());
    close_leader();
}

/* As after a restart, when deadlines by the earlier clock grant the longest
 * lease. */
static void
test_longer_lease(void)
{
    open_leader();
    worker->lease_expires_ms = now_ms + 10000;
    CU_ASSERT_FALSE(is_entered());
    worker->lease_expires_ms =
        now_ms + FvSched_WorstCaseLeaseMs(&leader.sched);
    CU_ASSERT_TRUE(is_entered());
    close_leader();
}

/* The worker restarted and forgot this leader, so that an earlier one that is
 * cut off from the store may reach it and grant it leases. */
static void
test_earlier_leader_that_goes_on(void)
{
    open_leader();
    leader.began_ms = now_ms - FvElection_OrderGraceMs() + 1;
    CU_ASSERT_FALSE(is_entered());
    leader.all_stopped_ms = now_ms;
    CU_ASSERT_TRUE(is_entered());
    close_leader();
}

/* A restarted worker may hold a longer lease than the usual one. A leader that
 * learns of it writes the worker list, from which the next leader knows until
 * when the worker's tasks may run. */
static void
test_long_lease_in_worker_list(void)
{
    fv_kv_item_t item = {.key = "list"};
    fv_sched_worker_t *inherited;

    open_leader();
    worker->listed = true;
    worker->long_lease_until_ms = now_ms + LONG_LEASE_MS;
    FvLeaderWorkerList_Add(&leader, worker);
    CU_ASSERT_FALSE(worker->long_lease_stored);
    fake_kv_run_loop(base, WRITE_MS);
    CU_ASSERT_FATAL(fake_kv_count(FAKE_KV_TXN) > 0);
    FvBuffer_Append(&item.value, fake_kv_latest(FAKE_KV_TXN)->puts[0].value,
                    strlen(fake_kv_latest(FAKE_KV_TXN)->puts[0].value) + 1);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN), (fv_kv_result_t){0});
    fake_kv_run_loop(base, WRITE_MS);
    CU_ASSERT_TRUE(worker->long_lease_stored);
    close_leader();

    open_leader();
    FvSched_FreeWorker(&leader.sched, worker);
    FvLeaderWorkerList_Load(&leader, &item);
    inherited = FvSched_FindWorker(&leader.sched, "w1");
    CU_ASSERT_PTR_NOT_NULL_FATAL(inherited);
    if (inherited == NULL) {
        abort();
    }
    CU_ASSERT(inherited->lease_expires_ms >
              now_ms + LONG_LEASE_MS - 10 * WRITE_MS);
    CU_ASSERT_TRUE(inherited->long_lease_stored);
    close_leader();
    FvBuffer_Clear(&item.value);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the next leader does not learn how long the lease of a restarted "
         "worker may last",
         test_long_lease_in_worker_list},
        {"a worker without a process holds up the next leader",
         test_worker_without_a_process},
        {"a worker that may be reached again loses its runs in an outage",
         test_worker_with_runs_to_lose},
        {"a worker is entered that has a lease beyond the usual one",
         test_longer_lease},
        {"a worker is entered while an earlier leader may grant it leases",
         test_earlier_leader_that_goes_on},
    };

    return Fv_RUN_SUITE("leader_unreached", cases);
}
