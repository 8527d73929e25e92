/*
 * How long the workers' answers take. The load is a leader whose link or
 * processor is used up: answers queue, and with a fixed time limit all workers
 * seem silent, are asked more often and make the queue longer.
 */

#include "cell-leader.h"

/* Weight of one answer in the averages; several hundred answers come each
 * second in the platform's deployments. */
#define Fv_ANSWER_TIME_WEIGHT 0.02

#define Fv_ANSWER_TIME_DEVIATIONS 2.0

/* About five round trips between regions. An order that times out is repeated
 * or looked up in the worker's report, so a late answer loses nothing. */
#define Fv_ANSWER_TIMEOUT_MIN_MS 250
#define Fv_ANSWER_TIMEOUT_MAX_MS 1000

/* Counted for a missing answer. It does not depend on the limit, which would
 * otherwise raise itself while some workers are really silent. */
#define Fv_ANSWER_MISSING_MS 500

static void
observe(fv_answer_time_t *time, double ms)
{
    double error = ms - time->mean_ms;

    time->mean_ms += error * Fv_ANSWER_TIME_WEIGHT;
    time->deviation_ms += ((error < 0 ? -error : error) - time->deviation_ms) *
                          Fv_ANSWER_TIME_WEIGHT;
}

/**
 * FvAnswerTime_Answered - note the answer to a call that is answered at once
 * @time: the averages
 * @ms: how long it took
 */
void
FvAnswerTime_Answered(fv_answer_time_t *time, int64_t ms)
{
    observe(time, (double)ms);
}

/**
 * FvAnswerTime_Missing - note that a call was not answered in time
 * @time: the averages
 */
void
FvAnswerTime_Missing(fv_answer_time_t *time)
{
    observe(time, Fv_ANSWER_MISSING_MS);
}

/**
 * FvAnswerTime_LimitMs - how long to wait for an answer
 * @time: the averages
 *
 * Return: the limit.
 */
int64_t
FvAnswerTime_LimitMs(const fv_answer_time_t *time)
{
    int64_t limit_ms =
        (int64_t)(time->mean_ms +
                  time->deviation_ms * Fv_ANSWER_TIME_DEVIATIONS);

    if (limit_ms < Fv_ANSWER_TIMEOUT_MIN_MS) {
        return Fv_ANSWER_TIMEOUT_MIN_MS;
    }
    return limit_ms < Fv_ANSWER_TIMEOUT_MAX_MS ? limit_ms
                                               : Fv_ANSWER_TIMEOUT_MAX_MS;
}

/**
 * FvAnswerTime_ExcessMs - by how much answers take longer than usual
 * @time: the averages
 *
 * Return: the part of the limit above its minimum; 0 while nothing queues.
 */
int64_t
FvAnswerTime_ExcessMs(const fv_answer_time_t *time)
{
    return FvAnswerTime_LimitMs(time) - Fv_ANSWER_TIMEOUT_MIN_MS;
}
