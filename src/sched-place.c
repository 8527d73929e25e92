/*
 * Placement of the tasks of a stage on workers.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define Fv_DATA_RACK_BONUS 4.0
#define Fv_PROBATION_PENALTY 8.0 /* outweighs all else in a score */

typedef struct fv_place_candidate {
    fv_sched_worker_t *worker;
    const fv_verdict_t *verdict;
    int32_t capacity;
    double score;
} fv_place_candidate_t;

/* Packs single tasks onto the fullest workers, which leaves whole workers free
 * for gangs. Gangs take the emptiest workers, those on probation last: one
 * member that fails ends them all. */
static double
score_candidate(const fv_sched_stage_t *stage, const fv_speed_match_t *match,
                const fv_place_candidate_t *candidate)
{
    const fv_sched_worker_t *worker = candidate->worker;
    double free_share = (double)worker->free.cpu_millis /
                        (double)(worker->entry.cpu_millis + 1);
    double score = stage->step->gang ? free_share : 1.0 - free_share;

    if (stage->step->data_rack[0] != '\0' &&
        strcmp(stage->step->data_rack, worker->entry.rack) == 0) {
        score += Fv_DATA_RACK_BONUS;
    }
    if (stage->step->gang && worker->quarantined_until_ms != 0) {
        score -= Fv_PROBATION_PENALTY;
    }
    return score + FvSched_SpeedPreference(match, worker);
}

static int
by_score(const void *left, const void *right)
{
    const fv_place_candidate_t *a = left;
    const fv_place_candidate_t *b = right;

    return a->score < b->score ? 1 : a->score > b->score ? -1 : 0;
}

static int32_t
sum_capacity(const fv_place_candidate_t *candidates, uint32_t count)
{
    int32_t capacity = 0;

    for (uint32_t i = 0; i < count; i++) {
        capacity += candidates[i].capacity;
    }
    return capacity;
}

/**
 * FvSched_ListEligibleWorkers - list the workers that may run tasks of a
 * stage, whatever their free capacity
 * @sched: the scheduler
 * @stage: the stage
 * @ticket_at_ms: time at which the tickets have to be valid; Fv_ANY_TICKET to
 *                include workers with an expired ticket
 * @now_ms: the time
 * @count: receives the number of workers
 *
 * Return: the workers, to be freed by the caller; NULL when there are none or
 * memory is exhausted.
 */
fv_eligible_worker_t *
FvSched_ListEligibleWorkers(const fv_sched_t *sched,
                            const fv_sched_stage_t *stage,
                            int64_t ticket_at_ms, int64_t now_ms,
                            uint32_t *count)
{
    bool advised = stage->job->queue.needs_advice;
    uint32_t max_count =
        advised ? stage->verdict_count : HASH_COUNT(sched->workers);
    fv_eligible_worker_t *eligible =
        max_count > 0 ? calloc(max_count, sizeof(*eligible)) : NULL;

    *count = 0;
    if (eligible == NULL) {
        return NULL;
    }
    for (uint32_t i = 0; advised && i < stage->verdict_count; i++) {
        const fv_verdict_t *verdict = &stage->verdicts[i];

        if (verdict->allowed &&
            (ticket_at_ms == Fv_ANY_TICKET ||
             FvSched_TicketValid(verdict, ticket_at_ms)) &&
            FvSched_IsWorkerEligible(verdict->worker, stage, now_ms)) {
            eligible[(*count)++] = (fv_eligible_worker_t){
                .worker = verdict->worker, .verdict = verdict};
        }
    }
    for (fv_sched_worker_t *worker = sched->workers;
         !advised && worker != NULL; worker = worker->hh.next) {
        if (FvSched_IsWorkerEligible(worker, stage, now_ms)) {
            eligible[(*count)++] = (fv_eligible_worker_t){.worker = worker};
        }
    }
    return eligible;
}

static fv_place_candidate_t *
find_candidates(fv_sched_t *sched, const fv_sched_stage_t *stage,
                int64_t now_ms, uint32_t *count)
{
    fv_speed_match_t match = FvSched_MatchSpeed(sched, stage, now_ms);
    uint32_t eligible_count;
    fv_eligible_worker_t *eligible = FvSched_ListEligibleWorkers(
        sched, stage, now_ms, now_ms, &eligible_count);
    fv_place_candidate_t *candidates =
        eligible_count > 0 ? calloc(eligible_count, sizeof(*candidates))
                           : NULL;

    *count = 0;
    for (uint32_t i = 0; candidates != NULL && i < eligible_count; i++) {
        fv_place_candidate_t candidate = {.worker = eligible[i].worker,
                                          .verdict = eligible[i].verdict};

        candidate.capacity =
            FvSched_FreeStageCapacity(candidate.worker, stage);
        candidate.score = score_candidate(stage, &match, &candidate);
        if (candidate.capacity > 0) {
            candidates[(*count)++] = candidate;
        }
    }
    /* A gang that does not fit as a whole is not placed; no need to sort. */
    if (*count > 1 && (!stage->step->gang ||
                       sum_capacity(candidates, *count) >= stage->waiting)) {
        /* Each task takes one candidate, and may have to pass over the one
         * that it failed on. */
        FvSelect_Best(candidates, *count, sizeof(*candidates),
                      stage->step->same_rack ? *count
                                             : (size_t)stage->waiting + 1,
                      by_score);
    }
    free(eligible);
    return candidates;
}

static int32_t
next_run(const fv_sched_t *sched, const fv_sched_task_t *task)
{
    return (task->run > sched->run_base ? task->run : sched->run_base) + 1;
}

static void
start_task(fv_sched_t *sched, fv_sched_task_t *task,
           fv_place_candidate_t *candidate, int32_t run, int64_t now_ms)
{
    task->run = run;
    task->state = Fv_SCHED_STARTING;
    task->start_sent_ms = now_ms;
    task->start_repeated_ms = now_ms;
    task->start_confirmed_ms = 0;
    task->start_unconfirmed = false;
    task->start_retried = false;
    task->inherited = false;
    task->ran_from_start = task->checkpoint == NULL;
    task->percent = 0;
    task->progress_ms = now_ms;
    task->progress_clock_ms = 0;
    task->stage->waiting--;
    FvSched_AttachTask(candidate->worker, task);
    FvSched_NoteBackfill(candidate->worker, task);
    candidate->capacity--;
    FvSched_BeginProbe(candidate->worker, task->stage, now_ms);
    FvMetrics_Add(Fv_COUNTER_STARTS, 1);
    if (!sched->ops->start(sched, task, candidate->verdict)) {
        FvSched_RequeueTask(sched, task);
    }
}

static bool
may_start(const fv_sched_t *sched, const fv_sched_task_t *task)
{
    return task->state == Fv_SCHED_WAITING &&
           !(task->inherited && sched->hold_inherited_tasks);
}

/* Limits the candidates of a gang to the rack with the most free capacity. */
static uint32_t
keep_one_rack(const fv_sched_stage_t *stage, fv_place_candidate_t *candidates,
              uint32_t count)
{
    const char *best = NULL;
    int32_t best_capacity = 0;
    uint32_t kept = 0;

    for (uint32_t i = 0; i < count; i++) {
        int32_t capacity = 0;

        for (uint32_t j = 0; j < count; j++) {
            if (strcmp(candidates[i].worker->entry.rack,
                       candidates[j].worker->entry.rack) == 0) {
                capacity += candidates[j].capacity;
            }
        }
        if (capacity > best_capacity) {
            best_capacity = capacity;
            best = candidates[i].worker->entry.rack;
        }
    }
    if (best_capacity < stage->step->task_count) {
        return count; /* several racks are slower, but better than waiting */
    }
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(candidates[i].worker->entry.rack, best) == 0) {
            candidates[kept++] = candidates[i];
        }
    }
    return kept;
}

/* Limits the candidates of a gang to the grades that it needs. Of these it
 * takes the slowest first: it ends no later, and leaves faster workers free.
 */
static uint32_t
keep_needed_grades(const fv_sched_stage_t *stage,
                   fv_place_candidate_t *candidates, uint32_t count)
{
    fv_grade_capacities_t capacities = {0};
    int32_t grade;
    uint32_t kept = 0;

    for (uint32_t i = 0; i < count; i++) {
        FvSched_AddGradeCapacity(&capacities, candidates[i].worker,
                                 candidates[i].capacity);
    }
    grade = FvSched_GangGrade(&capacities, stage->waiting);
    for (uint32_t i = 0; i < count; i++) {
        if (candidates[i].worker->speed.grade <= grade) {
            candidates[kept] = candidates[i];
            candidates[kept++].score +=
                2.0 * candidates[i].worker->speed.grade;
        }
    }
    FvSelect_Best(candidates, kept, sizeof(*candidates), kept, by_score);
    return kept;
}

static fv_place_candidate_t *
best_candidate(const fv_sched_task_t *task, fv_place_candidate_t *candidates,
               uint32_t count)
{
    fv_place_candidate_t *fallback = NULL;

    for (uint32_t i = 0; i < count; i++) {
        if (candidates[i].capacity <= 0) {
            continue;
        }
        if (candidates[i].worker != task->failed_on) {
            return &candidates[i];
        }
        fallback = &candidates[i];
    }
    return fallback;
}

/* Starts single tasks, each with a new run number, or the missing members of a
 * gang in the gang's current run. A worker that was ordered to stop a member
 * of that run refuses to start it again. */
static void
place_tasks(fv_sched_t *sched, fv_sched_stage_t *stage,
            fv_place_candidate_t *candidates, uint32_t count, int64_t now_ms)
{
    bool gang = stage->step->gang;

    for (int32_t i = 0; i < stage->step->task_count; i++) {
        fv_sched_task_t *task = &stage->tasks[i];
        fv_place_candidate_t *candidate;

        if (!may_start(sched, task)) {
            continue;
        }
        if (!FvSched_FitsUnderCap(stage, 1)) {
            return;
        }
        candidate = best_candidate(task, candidates, count);
        if (candidate == NULL ||
            (gang && candidate->worker == task->failed_on)) {
            return;
        }
        start_task(sched, task, candidate,
                   gang ? stage->gang_run : next_run(sched, task), now_ms);
    }
}

static void
place_gang(fv_sched_t *sched, fv_sched_stage_t *stage,
           fv_place_candidate_t *candidates, uint32_t count, int64_t now_ms)
{
    int32_t run = sched->run_base;
    uint32_t current = 0;

    if (stage->step->same_rack) {
        count = keep_one_rack(stage, candidates, count);
    }
    if (sched->speeds.in_use) {
        count = keep_needed_grades(stage, candidates, count);
    }
    if (stage->waiting < stage->step->task_count) {
        if (FvSched_MayRefillGang(sched, stage, now_ms)) {
            place_tasks(sched, stage, candidates, count, now_ms);
        }
        return;
    }
    if (sum_capacity(candidates, count) < stage->step->task_count) {
        return;
    }
    for (int32_t i = 0; i < stage->step->task_count; i++) {
        int32_t next = next_run(sched, &stage->tasks[i]) - 1;

        if (!may_start(sched, &stage->tasks[i])) {
            return;
        }
        run = next > run ? next : run;
    }
    for (int32_t i = 0; i < stage->step->task_count; i++) {
        while (candidates[current].capacity <= 0) {
            current++;
        }
        start_task(sched, &stage->tasks[i], &candidates[current], run + 1,
                   now_ms);
    }
    stage->gang_run = run + 1;
    stage->gang_start_ms = now_ms;
    stage->reserved_since_ms = 0;
    stage->reserve_idle_since_ms = 0;
    stage->gang_broken = false;
}

/**
 * FvSched_PlaceStage - start the tasks of a stage that fit
 * @sched: the scheduler
 * @stage: the stage
 * @now_ms: the time
 */
void
FvSched_PlaceStage(fv_sched_t *sched, fv_sched_stage_t *stage, int64_t now_ms)
{
    fv_place_candidate_t *candidates;
    uint32_t count;

    if (now_ms < stage->next_place_ms) {
        return;
    }
    candidates = find_candidates(sched, stage, now_ms, &count);
    if (count > 0 && stage->step->gang) {
        place_gang(sched, stage, candidates, count, now_ms);
    }
    else if (count > 0) {
        place_tasks(sched, stage, candidates, count, now_ms);
    }
    free(candidates);
}
