/*
 * The leader's record writer: lost answers, writes of a deposed leader, and
 * withdrawal of unsent records while the store is unavailable.
 */

#include "fake_kv.h"

#include <stdio.h>

#define JOB "00000000000000aa"
#define OTHER_JOB "00000000000000bb"
#define EPOCH 900

typedef struct outcome {
    uint32_t done;
    uint32_t withdrawn;
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
withdrawn(void *context)
{
    ((outcome_t *)context)->withdrawn++;
}

static void
open_writer(void)
{
    static const int64_t revisions[Fv_RECORD_STREAMS] = {11};

    fake_kv_reset();
    owner_lost = 0;
    base = event_base_new();
    writer = FvRecordWriter_New(base, NULL,
                                &(fv_records_owner_t){.epoch = EPOCH,
                                                      .retention_ms = 1000,
                                                      .lost = lost},
                                revisions);
}

/* The writer is released only when all open calls have been answered. */
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
write_group(const char *job, const char *value, bool may_withdraw,
            outcome_t *outcome)
{
    fv_record_t entry = {0};

    snprintf(entry.key, sizeof(entry.key), "%s%s", Fv_KEY_JOBS, job);
    FvBuffer_Append(&entry.value, value, strlen(value));
    FvRecordWriter_Write(
        writer,
        &(fv_records_group_t){.order_key = job,
                              .entries = &entry,
                              .count = 1,
                              .urgent = true,
                              .done = done,
                              .withdrawn = may_withdraw ? withdrawn : NULL,
                              .context = outcome});
}

/* Returns the value that a batch writes to its stream's key. */
static const char *
stream_value(const fake_kv_call_t *call)
{
    return call->puts[call->put_count - 1].value;
}

/* The store commits a batch, and the answer is lost. */
static void
test_unconfirmed_batch_is_retried_unchanged(void)
{
    outcome_t outcome = {0};
    fake_kv_call_t *first;
    fake_kv_call_t *second;
    char stream[Fv_KEY_SIZE];

    open_writer();
    write_group(JOB, "one", false, &outcome);
    fake_kv_run_loop(base, 50);
    first = fake_kv_latest(FAKE_KV_TXN);
    fake_kv_answer(first, (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    write_group(JOB, "two", false, &outcome);
    fake_kv_run_loop(base, 150);
    second = fake_kv_latest(FAKE_KV_TXN);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_TXN), 2);
    CU_ASSERT_EQUAL(second->put_count, first->put_count);
    CU_ASSERT_STRING_EQUAL(second->puts[0].value, "one");
    CU_ASSERT_STRING_EQUAL(stream_value(second), stream_value(first));
    FvRecordWriter_StreamKey(0, stream, sizeof(stream));
    fake_kv_answer_item(second, Fv_KV_CONFLICT, stream, stream_value(first),
                        12);
    CU_ASSERT_EQUAL(outcome.done, 1);
    CU_ASSERT_EQUAL(owner_lost, 0);
    fake_kv_run_loop(base, 50);
    CU_ASSERT_STRING_EQUAL(fake_kv_latest(FAKE_KV_TXN)->puts[0].value, "two");
    close_writer();
}

/* Another host leads since; the conflict does not show this batch's value. */
static void
test_deposed_leader_stops_writing(void)
{
    outcome_t outcome = {0};

    open_writer();
    write_group(JOB, "one", false, &outcome);
    fake_kv_run_loop(base, 50);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_TXN), Fv_KV_CONFLICT,
                        Fv_KEY_LEADER, "akl-2", 950);
    CU_ASSERT_EQUAL(outcome.done, 0);
    CU_ASSERT_EQUAL(owner_lost, 1);
    close_writer();
}

/* The store stops answering during a burst of submissions, one of which its
 * caller cancels. */
static void
test_withdrawal_keeps_records_with_dependents(void)
{
    outcome_t first = {0};
    outcome_t independent = {0};
    outcome_t cancelled = {0};

    open_writer();
    write_group("0", "sent", false, &first);
    fake_kv_run_loop(base, 50);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    write_group(OTHER_JOB, "accepted", true, &independent);
    write_group(JOB, "accepted", true, &cancelled);
    write_group(JOB, "cancelled", false, &cancelled);
    CU_ASSERT_TRUE(FvRecordWriter_Stalled(writer, FvClock_NowMs()));
    FvRecordWriter_WithdrawUnsent(writer);
    CU_ASSERT_EQUAL(independent.withdrawn, 1);
    CU_ASSERT_EQUAL(cancelled.withdrawn, 0);
    CU_ASSERT_EQUAL(first.withdrawn, 0);
    fake_kv_run_loop(base, 150);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 12});
    fake_kv_run_loop(base, 50);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 13});
    CU_ASSERT_EQUAL(first.done, 1);
    CU_ASSERT_EQUAL(independent.done, 0);
    CU_ASSERT_EQUAL(cancelled.done, 2);
    close_writer();
}

static void
write_progress(uint32_t jobs, outcome_t *outcome)
{
    char job[Fv_JOB_ID_SIZE];

    for (uint32_t i = 1; i <= jobs; i++) {
        fv_record_t entry = {0};

        snprintf(job, sizeof(job), "%016x", 0x1000 + i);
        snprintf(entry.key, sizeof(entry.key), "%s%s", Fv_KEY_PROGRESS, job);
        FvRecordWriter_Write(writer,
                             &(fv_records_group_t){.order_key = job,
                                                   .entries = &entry,
                                                   .count = 1,
                                                   .done = done,
                                                   .context = outcome});
    }
}

/* An outage of the store has held up many records of progress. */
static void
test_submission_does_not_wait_for_other_records(void)
{
    outcome_t held_up = {0};
    outcome_t submission = {0};

    open_writer();
    write_progress(2000, &held_up);
    write_group(JOB, "accepted", false, &submission);
    fake_kv_run_loop(base, 50);
    for (uint32_t i = 0; i < fake_kv.count; i++) {
        fake_kv_answer(
            &fake_kv.calls[i],
            (fv_kv_result_t){.error = Fv_KV_OK, .revision = 20 + i});
    }
    CU_ASSERT_EQUAL(submission.done, 1);
    CU_ASSERT(held_up.done < 400);
    close_writer();
}

/* The call that repeats a batch is lost as well: it is given up before an
 * ordinary call would be. */
static void
test_repeated_batch_is_given_up_early(void)
{
    outcome_t outcome = {0};
    int64_t first_ms;

    open_writer();
    write_group(JOB, "one", false, &outcome);
    fake_kv_run_loop(base, 50);
    first_ms = fake_kv_latest(FAKE_KV_TXN)->timeout_ms;
    CU_ASSERT_EQUAL(FvRecordWriter_StalledMs(writer, FvClock_NowMs()), 0);
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    fake_kv_run_loop(base, 100);
    CU_ASSERT(fake_kv_latest(FAKE_KV_TXN)->timeout_ms <= first_ms / 2);
    CU_ASSERT(FvRecordWriter_StalledMs(writer, FvClock_NowMs()) >= 100);
    close_writer();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a batch whose answer was lost is applied twice or never",
         test_unconfirmed_batch_is_retried_unchanged},
        {"a deposed leader continues to write",
         test_deposed_leader_stops_writing},
        {"a record is withdrawn although a later one depends on it",
         test_withdrawal_keeps_records_with_dependents},
        {"a submission waits behind the records that an outage held up",
         test_submission_does_not_wait_for_other_records},
        {"a call that was lost in an outage holds up submissions after it",
         test_repeated_batch_is_given_up_early},
    };

    return Fv_RUN_SUITE("records", cases);
}
