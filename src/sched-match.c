/*
 * Matches stages with workers by speed. A stage with little slack prefers fast
 * workers. One that is in time on slow workers too prefers these, and leaves
 * the fast ones to others. Gangs prefer members of similar speed, since all of
 * them end with the slowest. These are preferences: no worker is withheld.
 */

#include "scheduler.h"

#include <math.h>

/* A stage that is late has value up to this multiple of its objective. */
#define Fv_LATE_OBJECTIVE_FACTOR 3.0

/* Preference for a worker on which the stage would be late, below all others.
 */
#define Fv_MATCH_LATE_PENALTY (4 * Fv_SPEED_GRADE_MAX)

/* Run time of the last of @count tasks, relative to the expected run time of
 * one, that is seldom exceeded. */
static double
longest_ratio(const fv_sched_t *sched, int32_t count)
{
    return exp(FvSched_RunTimeNoise(sched) *
               sqrt(2.0 * log((double)count + 1.0)));
}

/* How long the stage may take from now on. */
static double
time_left_ms(const fv_sched_stage_t *stage, int64_t expected_ms,
             int64_t now_ms)
{
    const fv_sched_job_t *job = stage->job;
    int64_t end_ms = stage->target_start_ms + expected_ms;

    if (stage->late_after_ms < now_ms) {
        double objective_ms =
            job->queue.stretch * (double)job->critical_path_ms +
            (double)job->queue.objective_ms;

        end_ms += (int64_t)((Fv_LATE_OBJECTIVE_FACTOR - 1.0) * objective_ms);
    }
    return (double)(end_ms - now_ms);
}

/**
 * FvSched_MatchSpeed - find out which workers a stage prefers
 * @sched: the scheduler
 * @stage: the stage; its start targets are up to date
 * @now_ms: the time
 *
 * Return: the preference, for FvSched_SpeedPreference().
 */
fv_speed_match_t
FvSched_MatchSpeed(fv_sched_t *sched, const fv_sched_stage_t *stage,
                   int64_t now_ms)
{
    fv_speed_match_t match = {.in_use = sched->speeds.in_use};
    int64_t expected_ms;

    if (!match.in_use) {
        return match;
    }
    expected_ms = FvRunTimeModel_Estimate(
        &FvSched_QueueEstimates(sched, stage->job->queue.name)->run_time,
        stage->step->estimated_ms);
    match.factor_max =
        time_left_ms(stage, expected_ms, now_ms) /
        ((double)expected_ms *
         longest_ratio(sched,
                       stage->step->gang ? 1 : stage->step->task_count));
    match.fast_first =
        stage->step->gang ||
        match.factor_max < FvSched_GradeFactor(sched->speeds.slow_grade);
    return match;
}

/**
 * FvSched_SpeedPreference - compare workers by their speed for a stage
 * @match: what the stage prefers
 * @worker: the worker
 *
 * Return: a number of grades, higher for workers that are preferred; 0 for all
 * workers when speeds are not in use.
 */
int32_t
FvSched_SpeedPreference(const fv_speed_match_t *match,
                        const fv_sched_worker_t *worker)
{
    if (!match->in_use) {
        return 0;
    }
    if (match->fast_first) {
        return -worker->speed.grade;
    }
    return worker->speed.factor <= match->factor_max
               ? worker->speed.grade
               : -worker->speed.grade - Fv_MATCH_LATE_PENALTY;
}

/**
 * FvSched_AddGradeCapacity - add a worker's capacity to the sum of its grade
 * @capacities: the sums
 * @worker: the worker
 * @capacity: number of tasks
 */
void
FvSched_AddGradeCapacity(fv_grade_capacities_t *capacities,
                         const fv_sched_worker_t *worker, int32_t capacity)
{
    capacities->tasks[worker->speed.grade + Fv_SPEED_GRADE_MAX] += capacity;
}

/**
 * FvSched_GangGrade - find the grade with which a gang ends earliest
 * @capacities: capacity on workers of each grade
 * @tasks: tasks of the gang
 *
 * Return: the lowest grade such that the gang fits on workers of that grade
 * and faster ones; the highest of all when it does not fit.
 */
int32_t
FvSched_GangGrade(const fv_grade_capacities_t *capacities, int32_t tasks)
{
    int32_t capacity = 0;

    for (int32_t i = 0; i < 2 * Fv_SPEED_GRADE_MAX; i++) {
        capacity += capacities->tasks[i];
        if (capacity >= tasks) {
            return i - Fv_SPEED_GRADE_MAX;
        }
    }
    return Fv_SPEED_GRADE_MAX;
}
