/*
 * The time limit of orders, on a leader whose link is full and on one whose
 * workers are silent.
 */

#include "cell-leader.h"
#include "suite.h"

/* The lowest limit, while nothing queues; see answer-time.c. */
#define LIMIT_MS 250
#define ROUND_TRIP_MS 45

static fv_answer_time_t
undisturbed(void)
{
    fv_answer_time_t time = {0};

    for (int i = 0; i < 1000; i++) {
        FvAnswerTime_Answered(&time, i % 3 == 0 ? 5 : ROUND_TRIP_MS);
    }
    return time;
}

/* Answers queue behind each other on a slow link: each takes 400 ms, and the
 * first ones exceed the lowest limit. */
static void
test_full_link_is_not_taken_for_silence(void)
{
    fv_answer_time_t time = undisturbed();
    uint32_t missing = 0;

    CU_ASSERT_EQUAL(FvAnswerTime_LimitMs(&time), LIMIT_MS);
    CU_ASSERT_EQUAL(FvAnswerTime_ExcessMs(&time), 0);
    for (int i = 0; i < 1000; i++) {
        if (FvAnswerTime_LimitMs(&time) < 400) {
            FvAnswerTime_Missing(&time);
            missing++;
        }
        else {
            FvAnswerTime_Answered(&time, 400);
        }
    }
    CU_ASSERT(missing < 100);
    CU_ASSERT(FvAnswerTime_LimitMs(&time) >= 400);
    CU_ASSERT(FvAnswerTime_ExcessMs(&time) > 0);
    /* The queue is gone. */
    for (int i = 0; i < 500; i++) {
        FvAnswerTime_Answered(&time, ROUND_TRIP_MS);
    }
    CU_ASSERT_EQUAL(FvAnswerTime_ExcessMs(&time), 0);
}

/* Some workers leave their orders unanswered while the others answer. */
static void
test_silent_workers_do_not_raise_limit(void)
{
    fv_answer_time_t time = undisturbed();

    for (int i = 0; i < 2000; i++) {
        if (i % 16 == 0) {
            FvAnswerTime_Missing(&time);
        }
        else {
            FvAnswerTime_Answered(&time, ROUND_TRIP_MS);
        }
        CU_ASSERT_EQUAL(FvAnswerTime_LimitMs(&time), LIMIT_MS);
    }
}

/* No worker answers: the limit stays bounded. */
static void
test_limit_is_bounded(void)
{
    fv_answer_time_t time = undisturbed();

    for (int i = 0; i < 5000; i++) {
        FvAnswerTime_Missing(&time);
        CU_ASSERT(FvAnswerTime_LimitMs(&time) <= 1000);
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a full link makes all workers count as silent",
         test_full_link_is_not_taken_for_silence},
        {"silent workers delay the repetition of orders to others",
         test_silent_workers_do_not_raise_limit},
        {"the limit grows without bound while no worker answers",
         test_limit_is_bounded},
    };

    return Fv_RUN_SUITE("answer_time", cases);
}
