/*
 * Order of the waiting stages. It needs no clock and no network, and names the
 * loads that it answers:
 *
 * - a crest above capacity: what can still meet its objective comes before
 *   what is late, and what is late before what has lost its value, so that a
 *   backlog does not make further jobs late;
 * - bursts of large or urgent jobs: the queue's priority comes first, then the
 *   latest start that meets the objective;
 * - one customer's flood: its excess comes after all jobs of others, and a
 *   customer above its weighted share after those below it;
 * - many jobs that can never be done: they come last once they have lost their
 *   value.
 */

#include "scheduler.h"

/* Work that is left of the stage's occurrence, in core-ms by expected run
 * times. Tasks that run are left out: they end whatever the order. */
static double
work_left(fv_sched_t *sched, const fv_sched_stage_t *stage)
{
    const fv_sched_job_t *job = stage->job;
    const fv_run_time_model_t *model =
        &FvSched_QueueEstimates(sched, job->queue.name)->run_time;
    double work = 0.0;

    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        const fv_sched_stage_t *other = &stage->occurrence->stages[s];

        if (other->waiting > 0) {
            work += (double)other->waiting * (double)other->step->cpu_millis *
                    (double)FvRunTimeModel_Estimate(model,
                                                    other->step->estimated_ms);
        }
    }
    return work;
}

/**
 * FvSched_RankStage - rank a waiting stage
 * @sched: the scheduler
 * @stage: the stage, with up-to-date start targets
 * @now_ms: the time
 *
 * Return: the rank.
 */
fv_rank_t
FvSched_RankStage(fv_sched_t *sched, const fv_sched_stage_t *stage,
                  int64_t now_ms)
{
    fv_rank_t rank = {.priority = stage->job->queue.priority,
                      .above_share = FvSched_IsAboveShare(stage),
                      .target_start_ms = stage->target_start_ms};

    if (FvSched_IsExcess(stage)) {
        rank.group = Fv_RANK_EXCESS;
    }
    else if (stage->late_after_ms >= now_ms || stage->step->long_running) {
        rank.group = Fv_RANK_ON_TIME;
    }
    else if (stage->worthless_after_ms >= now_ms) {
        rank.group = Fv_RANK_LATE;
        rank.work = work_left(sched, stage);
    }
    else {
        rank.group = Fv_RANK_WORTHLESS;
    }
    return rank;
}

/* A late job has the same value however late, so the least work first
 * completes the most of them with the same capacity. A job that is passed over
 * is not held up for ever: it becomes worthless, and is then served in order
 * of its latest start. */
static int
compare_late(const fv_rank_t *a, const fv_rank_t *b)
{
    return a->work < b->work ? -1 : a->work > b->work ? 1 : 0;
}

/**
 * FvRank_Compare - compare two ranks
 * @a: a rank
 * @b: another one
 *
 * Return: below 0 if the stage of @a comes first, 0 if either may, else above
 * 0.
 */
int
FvRank_Compare(const fv_rank_t *a, const fv_rank_t *b)
{
    if (a->group != b->group) {
        return a->group < b->group ? -1 : 1;
    }
    if (a->group == Fv_RANK_LATE && compare_late(a, b) != 0) {
        return compare_late(a, b);
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->above_share != b->above_share) {
        return a->above_share ? 1 : -1;
    }
    return a->target_start_ms < b->target_start_ms   ? -1
           : a->target_start_ms > b->target_start_ms ? 1
                                                     : 0;
}
