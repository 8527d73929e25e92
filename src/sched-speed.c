/*
 * Speeds of workers. The run times on each worker, compared with those of
 * tasks of the same stage on other workers, give its factor: run times on it
 * relative to the cell's mean. Factors and the stages' own run times are
 * estimated together, by a Kalman filter for each worker.
 */

#include "scheduler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Before the first run. A worker of the platform takes up to 2.5 times as long
 * as another one, which is two standard deviations of 0.5 in the logarithm. */
#define Fv_SPEED_VARIANCE_MAX 0.25

/* A worker's speed may change; the variance grows by this each second without
 * a run. At two runs a second, which is what the platform's workers end, about
 * the latest 12 runs count; a worker without runs is forgotten after 90 s. */
#define Fv_SPEED_DRIFT_PER_S 0.001

/* Factors return to 1 with this time constant. That holds the factors of
 * workers in place that never run tasks of the same stages, and costs 3 % of
 * the others at two runs a second. */
#define Fv_SPEED_RETURN_MS 300000.0

/* A factor is known from this variance on (a standard error of 32 %), and from
 * so many runs on that one stage alone does not decide it. */
#define Fv_SPEED_KNOWN_VARIANCE 0.1
#define Fv_SPEED_KNOWN_RUNS 4

/* Run times of equal tasks vary by 15 to 30 % on equal workers of the
 * platform. The variance of their logarithms is learned within the bounds. */
#define Fv_SPEED_NOISE_DEFAULT 0.06
#define Fv_SPEED_NOISE_MIN 0.01
#define Fv_SPEED_NOISE_MAX 0.36
#define Fv_SPEED_NOISE_WEIGHT 0.002

/* Least variance of a stage's run time around the expected one, since a queue
 * that was regular so far may change. */
#define Fv_SPEED_STAGE_VARIANCE_MIN 0.02

/* Workers whose runs of a stage are compared with the next one. The error of
 * their mean is a quarter of that of a single run. */
#define Fv_SPEED_GROUPS_MAX 16

/* A deviation counts at most as this many standard deviations: 3 % of the
 * platform's tasks take 7 times as long as usual. */
#define Fv_SPEED_DEVIATION_MAX 2.0

/* Cumulative sums of the deviations to either side, in standard deviations
 * beyond the first value, show that a speed has changed when they pass the
 * second one. A change by a factor of 2.5 takes four runs to show, and noise
 * that is taken for a change occurs once in some 1,000 runs. The runs that
 * follow then decide, as the variance is set to the third value; the factor
 * stays known. */
#define Fv_SPEED_CHANGE_SLACK 0.75
#define Fv_SPEED_CHANGE_SUM 3.5
#define Fv_SPEED_CHANGED_VARIANCE 0.08

/* The factors are used if their standard deviation is above the first one, and
 * until it is below the second. The errors of the estimates are taken off, so
 * that it is near 0 in a cell of equal workers; factors of 0.8, 1 and 1.25
 * make 0.18. */
#define Fv_SPEED_SPREAD_MIN 0.12
#define Fv_SPEED_SPREAD_KEEP 0.08

/* Otherwise only the factor of a single worker is used that is beyond this (a
 * factor of 1.5) and beyond this many standard errors, after so many runs: the
 * first stages of a new leader compare workers that are all unknown. */
#define Fv_SPEED_SINGLE_MIN 0.405
#define Fv_SPEED_SINGLE_ERRORS 4.0
#define Fv_SPEED_SINGLE_RUNS 12

/* Step of a grade in the logarithm, a factor of 1.35: several standard errors,
 * so that equal workers are seldom of two grades. */
#define Fv_SPEED_GRADE_STEP 0.3

/* Share of the workers that are not slower than the slow grade. */
#define Fv_SPEED_SLOW_SHARE 0.9

#define Fv_SPEED_UPDATE_MS 250
#define Fv_SPEED_LOG_MS 10000

/* A factor is logged when it has changed by a factor of 1.2. */
#define Fv_SPEED_LOG_CHANGE 0.182
#define Fv_SPEED_LOG_LINES_MAX 8

/* Runs of a stage on one worker, as if its factor were 1. */
typedef struct fv_run_group {
    const fv_sched_worker_t *worker; /* only compared */
    uint32_t runs;
    double log_time;       /* mean of the logarithms */
    double speed_variance; /* of the worker's factor */
} fv_run_group_t;

typedef struct fv_stage_runs {
    uint32_t count;
    uint32_t next; /* replaced next, when all are in use */
    fv_run_group_t groups[Fv_SPEED_GROUPS_MAX];
} fv_stage_runs_t;

/**
 * FvSched_ResetSpeed - forget what is known of a worker's speed
 * @speed: the speed
 */
void
FvSched_ResetSpeed(fv_worker_speed_t *speed)
{
    *speed =
        (fv_worker_speed_t){.variance = Fv_SPEED_VARIANCE_MAX, .factor = 1.0};
}

static double
variance_at(const fv_worker_speed_t *speed, int64_t now_ms)
{
    double variance = speed->variance +
                      Fv_SPEED_DRIFT_PER_S *
                          (double)(now_ms - speed->updated_ms) / Fv_MS_PER_S;

    return variance < Fv_SPEED_VARIANCE_MAX ? variance : Fv_SPEED_VARIANCE_MAX;
}

static bool
is_known(const fv_worker_speed_t *speed, int64_t now_ms)
{
    return speed->runs >= Fv_SPEED_KNOWN_RUNS &&
           variance_at(speed, now_ms) <= Fv_SPEED_KNOWN_VARIANCE;
}

static double
noise_variance(const fv_cell_speeds_t *speeds)
{
    return speeds->noise_variance > 0.0 ? speeds->noise_variance
                                        : Fv_SPEED_NOISE_DEFAULT;
}

/**
 * FvSched_RunTimeNoise - get how far run times of equal tasks vary
 * @sched: the scheduler
 *
 * Return: the standard deviation of their logarithms on equal workers.
 */
double
FvSched_RunTimeNoise(const fv_sched_t *sched)
{
    return sqrt(noise_variance(&sched->speeds));
}

/* Whether the time of a completed run tells of its worker. All members of a
 * gang end with the slowest one; a run that resumes from a checkpoint does a
 * part of the work; the time of one with an order or report that was lost is
 * not known; and data on another rack or spare CPU determine others. */
static bool
is_comparable(const fv_sched_task_t *task)
{
    const fv_step_spec_t *step = task->stage->step;

    return task->ran_from_start && !task->start_retried &&
           !task->start_unconfirmed && !step->gang && !step->long_running &&
           !step->uses_spare_cpu &&
           (step->data_rack[0] == '\0' ||
            strcmp(step->data_rack, task->worker->entry.rack) == 0) &&
           task->worker->suspect_since_ms < task->start_sent_ms;
}

/* What is expected of a stage's run time on a worker of factor 1. */
typedef struct fv_stage_time {
    double log_time;
    double variance; /* 0: nothing is expected */
} fv_stage_time_t;

/* By the model of the queue. */
static fv_stage_time_t
modelled_time(fv_sched_t *sched, const fv_sched_stage_t *stage)
{
    const fv_run_time_model_t *model =
        &FvSched_QueueEstimates(sched, stage->job->queue.name)->run_time;
    int64_t expected_ms =
        FvRunTimeModel_Estimate(model, stage->step->estimated_ms);
    double spread = log(FvRunTimeModel_Spread(model));

    if (expected_ms <= 0) {
        return (fv_stage_time_t){0};
    }
    return (fv_stage_time_t){
        .log_time = log((double)expected_ms),
        .variance = fmax(spread * spread, Fv_SPEED_STAGE_VARIANCE_MIN)};
}

/* By the model and by the stage's runs on other workers. The runs on one
 * worker share the error of its factor. */
static fv_stage_time_t
expected_time(fv_sched_t *sched, const fv_sched_stage_t *stage,
              const fv_sched_worker_t *worker, double noise)
{
    fv_stage_time_t expected = modelled_time(sched, stage);
    double weight = expected.variance > 0.0 ? 1.0 / expected.variance : 0.0;
    double sum = expected.log_time * weight;

    for (uint32_t i = 0; stage->runs != NULL && i < stage->runs->count; i++) {
        const fv_run_group_t *group = &stage->runs->groups[i];
        double group_weight =
            1.0 / (noise / group->runs + group->speed_variance);

        if (group->worker != worker) {
            weight += group_weight;
            sum += group->log_time * group_weight;
        }
    }
    if (weight <= 0.0) {
        return (fv_stage_time_t){0};
    }
    return (fv_stage_time_t){.log_time = sum / weight,
                             .variance = 1.0 / weight};
}

/* Returns the runs of a stage on a worker; NULL when memory is exhausted. */
static fv_run_group_t *
get_group(fv_sched_stage_t *stage, const fv_sched_worker_t *worker)
{
    fv_stage_runs_t *runs = stage->runs;
    fv_run_group_t *group;

    if (runs == NULL) {
        runs = stage->runs = calloc(1, sizeof(*runs));
    }
    if (runs == NULL) {
        return NULL;
    }
    for (uint32_t i = 0; i < runs->count; i++) {
        if (runs->groups[i].worker == worker) {
            return &runs->groups[i];
        }
    }
    if (runs->count < Fv_SPEED_GROUPS_MAX) {
        group = &runs->groups[runs->count++];
    }
    else {
        group = &runs->groups[runs->next];
        runs->next = (runs->next + 1) % Fv_SPEED_GROUPS_MAX;
    }
    *group = (fv_run_group_t){.worker = worker};
    return group;
}

/* Variance of what one more run tells of its worker. The runs of a stage on
 * one worker share the error of the stage's expected time, so that further
 * ones tell less. */
static double
run_variance(uint32_t earlier_runs, double stage_variance, double noise)
{
    double earlier =
        earlier_runs > 0 ? 1.0 / (noise / earlier_runs + stage_variance) : 0.0;

    return 1.0 /
           (1.0 / (noise / (earlier_runs + 1) + stage_variance) - earlier);
}

/**
 * FvSched_ForgetRuns - free the runs of a stage that were compared
 * @stage: the stage
 */
void
FvSched_ForgetRuns(fv_sched_stage_t *stage)
{
    free(stage->runs);
    stage->runs = NULL;
}

static void
learn_noise(fv_cell_speeds_t *speeds, double squared)
{
    double noise = noise_variance(speeds);

    noise += (squared - noise) * Fv_SPEED_NOISE_WEIGHT;
    noise = noise > Fv_SPEED_NOISE_MIN ? noise : Fv_SPEED_NOISE_MIN;
    speeds->noise_variance =
        noise < Fv_SPEED_NOISE_MAX ? noise : Fv_SPEED_NOISE_MAX;
}

/* @deviation: in standard deviations
 * @weight: 1 for a run that tells as much as the first one of a stage */
static void
detect_change(fv_worker_speed_t *speed, double deviation, double weight)
{
    speed->slower = fmax(
        0.0, speed->slower + weight * (deviation - Fv_SPEED_CHANGE_SLACK));
    speed->faster = fmax(
        0.0, speed->faster - weight * (deviation + Fv_SPEED_CHANGE_SLACK));
    if (fmax(speed->slower, speed->faster) >= Fv_SPEED_CHANGE_SUM) {
        speed->slower = 0.0;
        speed->faster = 0.0;
        speed->variance = fmax(speed->variance, Fv_SPEED_CHANGED_VARIANCE);
    }
}

/* The factor as of now: it has aged since the latest run. */
static void
age(fv_worker_speed_t *speed, int64_t now_ms)
{
    speed->variance = variance_at(speed, now_ms);
    speed->log_factor *= fmax(0.0, 1.0 - (double)(now_ms - speed->updated_ms) /
                                             Fv_SPEED_RETURN_MS);
    speed->updated_ms = now_ms;
}

/* Returns the part of the deviation that the new factor does not explain. */
static double
learn_speed(fv_worker_speed_t *speed, double deviation, double variance)
{
    double gain = speed->variance / (speed->variance + variance);

    speed->log_factor += gain * deviation;
    speed->variance *= 1.0 - gain;
    speed->runs++;
    FvMetrics_Add(Fv_COUNTER_SPEED_RUNS, 1);
    return deviation * (1.0 - gain);
}

/**
 * FvSched_ObserveSpeed - learn from a completed run
 * @sched: the scheduler
 * @task: the task, still on its worker
 * @now_ms: the time; when the end was reported
 * @residual: receives the logarithm of the actual over the expected run time
 *            on this worker; for the interference between tasks
 *
 * Return: false when the run does not count.
 */
bool
FvSched_ObserveSpeed(fv_sched_t *sched, fv_sched_task_t *task, int64_t now_ms,
                     double *residual)
{
    fv_sched_stage_t *stage = task->stage;
    fv_worker_speed_t *speed = &task->worker->speed;
    double noise = noise_variance(&sched->speeds);
    fv_stage_time_t expected;
    fv_run_group_t *group;
    double log_time;
    double variance;
    double error;
    double deviation;

    if (!is_comparable(task) || now_ms <= task->start_sent_ms) {
        return false;
    }
    group = get_group(stage, task->worker);
    if (group == NULL) {
        return false;
    }
    age(speed, now_ms);
    log_time = log((double)(now_ms - task->start_sent_ms)) - speed->log_factor;
    expected = expected_time(sched, stage, task->worker, noise);
    if (expected.variance > 0.0) {
        *residual = log_time - expected.log_time;
        variance = run_variance(group->runs, expected.variance, noise);
        error = sqrt(noise + expected.variance + speed->variance);
        deviation = fmax(-Fv_SPEED_DEVIATION_MAX * error,
                         fmin(Fv_SPEED_DEVIATION_MAX * error, *residual));
        if (fmax(expected.variance, speed->variance) < noise) {
            learn_noise(&sched->speeds, deviation * deviation -
                                            expected.variance -
                                            speed->variance);
        }
        if (sched->speeds.learning) {
            if (expected.variance < noise) {
                detect_change(speed, deviation / error,
                              (noise + expected.variance) / variance);
            }
            deviation = learn_speed(speed, deviation, variance);
        }
        log_time = expected.log_time + deviation;
    }
    group->runs++;
    group->log_time += (log_time - group->log_time) / group->runs;
    group->speed_variance = speed->variance;
    return expected.variance > 0.0;
}

/* Mean factor of the known workers becomes 1: only their ratios are seen.
 * Returns how much the estimates vary, without their own errors. */
static double
center_factors(fv_sched_t *sched, int64_t now_ms)
{
    fv_cell_speeds_t *speeds = &sched->speeds;
    double sum = 0.0;
    double squares = 0.0;
    double errors = 0.0;
    double mean;

    speeds->known = 0;
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (is_known(&worker->speed, now_ms)) {
            speeds->known++;
            sum += worker->speed.log_factor;
            squares += worker->speed.log_factor * worker->speed.log_factor;
            errors += variance_at(&worker->speed, now_ms);
        }
    }
    if (speeds->known < 2) {
        return 0.0;
    }
    mean = sum / speeds->known;
    for (fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        worker->speed.log_factor -= worker->speed.runs > 0 ? mean : 0.0;
    }
    /* The errors' own variance varies by this share over so many workers. */
    errors *= (1.0 + 2.0 * sqrt(2.0 / (speeds->known - 1))) / speeds->known;
    return squares / speeds->known - mean * mean - errors;
}

static double
usable_log_factor(const fv_cell_speeds_t *speeds,
                  const fv_worker_speed_t *speed, int64_t now_ms)
{
    double size = fabs(speed->log_factor);

    if (!is_known(speed, now_ms) ||
        (!speeds->uneven &&
         (speed->runs < Fv_SPEED_SINGLE_RUNS || size < Fv_SPEED_SINGLE_MIN ||
          size < Fv_SPEED_SINGLE_ERRORS * sqrt(variance_at(speed, now_ms))))) {
        return 0.0;
    }
    return speed->log_factor;
}

static void
use_log_factor(fv_sched_t *sched, fv_sched_worker_t *worker, double log_factor,
               int64_t now_ms)
{
    fv_worker_speed_t *speed = &worker->speed;
    int32_t grade = (int32_t)lround(log_factor / Fv_SPEED_GRADE_STEP);

    speed->factor = exp(log_factor);
    speed->grade = grade > Fv_SPEED_GRADE_MAX    ? Fv_SPEED_GRADE_MAX
                   : grade < -Fv_SPEED_GRADE_MAX ? -Fv_SPEED_GRADE_MAX
                                                 : grade;
    if (fabs(log_factor - speed->logged_log_factor) < Fv_SPEED_LOG_CHANGE) {
        return;
    }
    FvMetrics_Add(Fv_COUNTER_SPEED_CHANGES, 1);
    FvLog_Event(
        FvLog_LevelWithin(&sched->speeds.log, Fv_SPEED_LOG_LINES_MAX, now_ms),
        "worker_speed", "worker=%s factor=%.2f before=%.2f runs=%u error=%.2f",
        worker->entry.id, speed->factor, exp(speed->logged_log_factor),
        speed->runs, sqrt(variance_at(speed, now_ms)));
    speed->logged_log_factor = log_factor;
}

static int32_t
find_slow_grade(const uint32_t *counts, uint32_t known)
{
    uint32_t reached = 0;
    int32_t index = 0;

    for (; index < 2 * Fv_SPEED_GRADE_MAX; index++) {
        reached += counts[index];
        if (reached >= known * Fv_SPEED_SLOW_SHARE) {
            break;
        }
    }
    return index - Fv_SPEED_GRADE_MAX;
}

static void
log_speeds(fv_sched_t *sched, int64_t now_ms)
{
    fv_cell_speeds_t *speeds = &sched->speeds;

    if (now_ms < speeds->next_log_ms) {
        return;
    }
    speeds->next_log_ms = now_ms + Fv_SPEED_LOG_MS;
    FvLog_Event(Fv_LOG_INFO, "worker_speeds",
                "workers=%u known=%u spread=%.2f noise=%.2f uneven=%d "
                "in_use=%d slow_grade=%d",
                HASH_COUNT(sched->workers), speeds->known, speeds->spread,
                FvSched_RunTimeNoise(sched), speeds->uneven ? 1 : 0,
                speeds->in_use ? 1 : 0, speeds->slow_grade);
}

/**
 * FvSched_UpdateSpeeds - decide which factors are used from now on
 * @sched: the scheduler
 * @now_ms: the time; ignored if the last update was short ago
 */
void
FvSched_UpdateSpeeds(fv_sched_t *sched, int64_t now_ms)
{
    fv_cell_speeds_t *speeds = &sched->speeds;
    uint32_t counts[2 * Fv_SPEED_GRADE_MAX + 1] = {0};
    double variance;

    if (!speeds->learning || now_ms < speeds->next_update_ms) {
        return;
    }
    speeds->next_update_ms = now_ms + Fv_SPEED_UPDATE_MS;
    variance = center_factors(sched, now_ms);
    speeds->spread = variance > 0.0 ? sqrt(variance) : 0.0;
    speeds->uneven = speeds->spread > (speeds->uneven ? Fv_SPEED_SPREAD_KEEP
                                                      : Fv_SPEED_SPREAD_MIN);
    speeds->in_use = false;
    for (fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        double log_factor = usable_log_factor(speeds, &worker->speed, now_ms);

        use_log_factor(sched, worker, log_factor, now_ms);
        speeds->in_use = speeds->in_use || log_factor != 0.0;
        counts[worker->speed.grade + Fv_SPEED_GRADE_MAX]++;
    }
    speeds->slow_grade = find_slow_grade(counts, HASH_COUNT(sched->workers));
    log_speeds(sched, now_ms);
}

/**
 * FvSched_GradeFactor - get the factor of a grade
 * @grade: the grade
 *
 * Return: the factor in its middle.
 */
double
FvSched_GradeFactor(int32_t grade)
{
    return exp(grade * Fv_SPEED_GRADE_STEP);
}

/**
 * FvSched_GangFactor - get the factor of a running gang
 * @stage: the gang
 *
 * Return: the factor of its slowest member's worker, with which all end.
 */
double
FvSched_GangFactor(const fv_sched_stage_t *stage)
{
    double factor = 0.0;

    for (int32_t i = 0; i < stage->step->task_count; i++) {
        const fv_sched_worker_t *worker = stage->tasks[i].worker;

        if (worker != NULL && worker->speed.factor > factor) {
            factor = worker->speed.factor;
        }
    }
    return factor > 0.0 ? factor : 1.0;
}

/**
 * FvSched_ExpectedRunMs - estimate the run time of a task on a worker
 * @sched: the scheduler
 * @stage: the task's stage
 * @worker: the worker
 *
 * Return: the expected run time in ms.
 */
int64_t
FvSched_ExpectedRunMs(fv_sched_t *sched, const fv_sched_stage_t *stage,
                      const fv_sched_worker_t *worker)
{
    return (int64_t)(worker->speed.factor *
                     (double)FvRunTimeModel_Estimate(
                         &FvSched_QueueEstimates(sched, stage->job->queue.name)
                              ->run_time,
                         stage->step->estimated_ms));
}
