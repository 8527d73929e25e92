/*
 * Writes of the leader: answers that are lost, writes of a deposed leader, and
 * what may be withdrawn while the store is away.
 */

#include "fake_kv.h"

#include <stdio.h>

#define JOB "00000000000000aa"
#define OTHER "00000000000000bb"
#define EPOCH 900

typedef struct outcome {
    uint32_t done;
    uint32_t dropped;
} outcome_t;

static struct event_base *base;
static fv_record_writer_t *writer;
static uint32_t owner_lost;

static void
lost(void *context)
{
    (void)context;
    owner_lost++;
}

static void
done(void *context)
{
    ((outcome_t *)context)->done++;
}

static void
dropped(void *context)
{
    ((outcome_t *)context)->dropped++;
}

static void
open_writer(void)
{
    static const int64_t revisions[Fv_RECORD_LANES] = {11};

    fake_kv_reset();
    owner_lost = 0;
    base = event_base_new();
    writer = FvRecordWriter_New(base, NULL,
                                &(fv_records_owner_t){.epoch = EPOCH,
                                                      .retention_ms = 1000,
                                                      .lost = lost},
                                revisions);
}

/* Answers that come after the end release the writer. */
static void
close_writer(void)
{
    FvRecordWriter_Free(writer);
    for (uint32_t i = 0; i < fake_kv.count; i++) {
        if (!fake_kv.calls[i].answered) {
            fake_kv_answer(&fake_kv.calls[i],
                           (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
        }
    }
    event_base_free(base);
}

static void
write_group(const char *job, const char *value, bool may_drop,
            outcome_t *outcome)
{
    fv_record_t entry = {0};

    snprintf(entry.key, sizeof(entry.key), "%s%s", Fv_KEY_JOBS, job);
    FvBuffer_Append(&entry.value, value, strlen(value));
    FvRecordWriter_Write(
        writer, &(fv_records_group_t){.order_key = job,
                                      .entries = &entry,
                                      .count = 1,
                                      .urgent = true,
                                      .done = done,
                                      .dropped = may_drop ? dropped : NULL,
                                      .context = outcome});
}

/* The value that a batch gives its lane's key. */
static const char *
lane_value(const fake_kv_call_t *call)
{
    return call->puts[call->put_count - 1].value;
}

/* Pattern: the store carries a batch out and its answer is lost. */
static void
test_lost_answer_is_settled_by_repeating(void)
{
    outcome_t outcome = {0};
    fake_kv_call_t *first;
    fake_kv_call_t *second;
    char lane[Fv_KEY_SIZE];

    open_writer();
    write_group(JOB, "one", false, &outcome);
    fake_kv_run(base, 50);
    first = fake_kv_latest(FAKE_KV_TXN);
    fake_kv_answer(first, (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    write_group(JOB, "two", false, &outcome);
    fake_kv_run(base, 150);
    second = fake_kv_latest(FAKE_KV_TXN);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_TXN), 2);
    CU_ASSERT_EQUAL(second->put_count, first->put_count);
    CU_ASSERT_STRING_EQUAL(second->puts[0].value, "one");
    CU_ASSERT_STRING_EQUAL(lane_value(second), lane_value(first));
    FvRecordWriter_LaneKey(0, lane, sizeof(lane));
    fake_kv_answer_item(second, Fv_KV_CONFLICT, lane, lane_value(first), 12);
    CU_ASSERT_EQUAL(outcome.done, 1);
    CU_ASSERT_EQUAL(owner_lost, 0);
    fake_kv_run(base, 50);
    CU_ASSERT_STRING_EQUAL(fake_kv_latest(FAKE_KV_TXN)->puts[0].value, "two");
    close_writer();
}

/* Pattern: another host leads since; its lane's value isn't this batch's. */
static void
test_deposed_leader_learns_of_it(void)
{
    outcome_t outcome = {0};

    open_writer();
    write_group(JOB, "one", false, &outcome);
    fake_kv_run(base, 50);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_TXN), Fv_KV_CONFLICT,
                        Fv_KEY_LEADER, "akl-2", 950);
    CU_ASSERT_EQUAL(outcome.done, 0);
    CU_ASSERT_EQUAL(owner_lost, 1);
    close_writer();
}

/* Pattern: the store goes silent under a burst of submissions, one of which
 * its caller cancels. */
static void
test_withdrawal_leaves_what_later_records_rest_on(void)
{
    outcome_t first = {0};
    outcome_t alone = {0};
    outcome_t cancelled = {0};

    open_writer();
    write_group("0", "sent", false, &first);
    fake_kv_run(base, 50);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    write_group(OTHER, "accepted", true, &alone);
    write_group(JOB, "accepted", true, &cancelled);
    write_group(JOB, "cancelled", false, &cancelled);
    CU_ASSERT_TRUE(FvRecordWriter_Stalled(writer, FvClock_NowMs()));
    FvRecordWriter_WithdrawUnsent(writer);
    CU_ASSERT_EQUAL(alone.dropped, 1);
    CU_ASSERT_EQUAL(cancelled.dropped, 0);
    CU_ASSERT_EQUAL(first.dropped, 0);
    fake_kv_run(base, 150);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 12});
    fake_kv_run(base, 50);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 13});
    CU_ASSERT_EQUAL(first.done, 1);
    CU_ASSERT_EQUAL(alone.done, 0);
    CU_ASSERT_EQUAL(cancelled.done, 2);
    close_writer();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a batch whose answer was lost is written twice, or not at all",
         test_lost_answer_is_settled_by_repeating},
        {"a deposed leader goes on writing", test_deposed_leader_learns_of_it},
        {"a record is withdrawn although a later one rests on it",
         test_withdrawal_leaves_what_later_records_rest_on},
    };

    return Fv_RUN_SUITE("records", cases);
}
