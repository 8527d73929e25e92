/*
 * Placement: which worker gets which task of a stage.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

typedef struct fv_slot {
    fv_sched_worker_t *worker;
    const fv_verdict_t *verdict;
    int32_t room;
    double score;
} fv_slot_t;

static int32_t
tasks_of_stage(const fv_sched_worker_t *worker, const fv_sched_stage_t *stage)
{
    int32_t count = 0;

    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        count += task->stage == stage;
    }
    return count;
}

static int32_t
room_for(const fv_sched_worker_t *worker, const fv_sched_stage_t *stage)
{
    int32_t room = FvSched_FreeTaskCapacity(worker, stage->step);

    if (room > 0 && stage->step->per_worker_max > 0) {
        int32_t left =
            stage->step->per_worker_max - tasks_of_stage(worker, stage);

        room = left < room ? left : room;
    }
    if (room > 1 && worker->quarantined_until_ms != 0) {
        room = 1; /* a probe */
    }
    return room;
}

/* Single tasks fill the fullest workers first, which leaves whole workers to
 * gangs; gangs take the emptiest ones. */
static double
score_slot(const fv_sched_stage_t *stage, const fv_slot_t *slot)
{
    const fv_sched_worker_t *worker = slot->worker;
    double free_share = (double)worker->free_cpu_millis /
                        (double)(worker->entry.cpu_millis + 1);
    double score = stage->step->gang ? free_share : 1.0 - free_share;

    if (stage->step->data_rack[0] != '\0' &&
        strcmp(stage->step->data_rack, worker->entry.rack) == 0) {
        score += 4.0;
    }
    return score;
}

static int
by_score(const void *left, const void *right)
{
    const fv_slot_t *a = left;
    const fv_slot_t *b = right;

    return a->score < b->score ? 1 : a->score > b->score ? -1 : 0;
}

static int32_t
room_in(const fv_slot_t *slots, uint32_t count)
{
    int32_t room = 0;

    for (uint32_t i = 0; i < count; i++) {
        room += slots[i].room;
    }
    return room;
}

/**
 * FvSched_ListEligibleWorkers - the workers that may run tasks of a stage,
 * room aside
 * @sched: the scheduler
 * @stage: the stage
 * @ticket_at_ms: when their tickets have to be valid, Fv_ANY_TICKET for ever
 *                allowed ones
 * @now_ms: the time
 * @count: receives how many
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
    uint32_t most =
        advised ? stage->verdict_count : HASH_COUNT(sched->workers);
    fv_eligible_worker_t *options =
        most > 0 ? calloc(most, sizeof(*options)) : NULL;

    *count = 0;
    if (options == NULL) {
        return NULL;
    }
    for (uint32_t i = 0; advised && i < stage->verdict_count; i++) {
        const fv_verdict_t *verdict = &stage->verdicts[i];

        if (verdict->allowed &&
            (ticket_at_ms == Fv_ANY_TICKET ||
             FvSched_TicketValid(verdict, ticket_at_ms)) &&
            FvSched_IsWorkerEligible(verdict->worker, stage, now_ms)) {
            options[(*count)++] = (fv_eligible_worker_t){
                .worker = verdict->worker, .verdict = verdict};
        }
    }
    for (fv_sched_worker_t *worker = sched->workers;
         !advised && worker != NULL; worker = worker->hh.next) {
        if (FvSched_IsWorkerEligible(worker, stage, now_ms)) {
            options[(*count)++] = (fv_eligible_worker_t){.worker = worker};
        }
    }
    return options;
}

static fv_slot_t *
find_slots(const fv_sched_t *sched, const fv_sched_stage_t *stage,
           int64_t now_ms, uint32_t *count)
{
    uint32_t option_count;
    fv_eligible_worker_t *options = FvSched_ListEligibleWorkers(
        sched, stage, now_ms, now_ms, &option_count);
    fv_slot_t *slots =
        option_count > 0 ? calloc(option_count, sizeof(*slots)) : NULL;

    *count = 0;
    for (uint32_t i = 0; slots != NULL && i < option_count; i++) {
        fv_slot_t slot = {.worker = options[i].worker,
                          .verdict = options[i].verdict};

        slot.room = room_for(slot.worker, stage);
        slot.score = score_slot(stage, &slot);
        if (slot.room > 0) {
            slots[(*count)++] = slot;
        }
    }
    /* A gang that does not fit as a whole is not placed; its slots need no
     * order. */
    if (*count > 1 &&
        (!stage->step->gang || room_in(slots, *count) >= stage->waiting)) {
        qsort(slots, *count, sizeof(*slots), by_score);
    }
    free(options);
    return slots;
}

static int32_t
next_run(const fv_sched_t *sched, const fv_sched_task_t *task)
{
    return (task->run > sched->run_base ? task->run : sched->run_base) + 1;
}

static void
start_task(fv_sched_t *sched, fv_sched_task_t *task, fv_slot_t *slot,
           int32_t run, int64_t now_ms)
{
    task->run = run;
    task->state = Fv_SCHED_STARTING;
    task->start_sent_ms = now_ms;
    task->start_confirmed_ms = 0;
    task->start_unconfirmed = false;
    task->start_repeated = false;
    task->inherited = false;
    task->ran_from_start = task->checkpoint == NULL;
    task->percent = 0;
    task->progress_ms = now_ms;
    task->stage->waiting--;
    FvSched_AttachTask(slot->worker, task);
    slot->room--;
    if (slot->worker->quarantined_until_ms != 0) {
        slot->worker->probing = true;
    }
    FvMetrics_Add(Fv_COUNTER_STARTS, 1);
    if (!sched->ops->start(sched, task, slot->verdict)) {
        FvSched_RequeueTask(sched, task);
    }
}

static bool
may_start(const fv_sched_t *sched, const fv_sched_task_t *task)
{
    return task->state == Fv_SCHED_WAITING &&
           !(task->inherited && sched->hold_inherited_tasks);
}

/* Limits the slots of a gang to one rack, the one with most room. */
static uint32_t
keep_one_rack(const fv_sched_stage_t *stage, fv_slot_t *slots, uint32_t count)
{
    const char *best = NULL;
    int32_t best_room = 0;
    uint32_t kept = 0;

    for (uint32_t i = 0; i < count; i++) {
        int32_t room = 0;

        for (uint32_t j = 0; j < count; j++) {
            if (strcmp(slots[i].worker->entry.rack,
                       slots[j].worker->entry.rack) == 0) {
                room += slots[j].room;
            }
        }
        if (room > best_room) {
            best_room = room;
            best = slots[i].worker->entry.rack;
        }
    }
    if (best_room < stage->step->task_count) {
        return count; /* slower on several racks, but it runs */
    }
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(slots[i].worker->entry.rack, best) == 0) {
            slots[kept++] = slots[i];
        }
    }
    return kept;
}

static fv_slot_t *
best_slot(const fv_sched_task_t *task, fv_slot_t *slots, uint32_t count)
{
    fv_slot_t *second = NULL;

    for (uint32_t i = 0; i < count; i++) {
        if (slots[i].room <= 0) {
            continue;
        }
        if (slots[i].worker != task->failed_on) {
            return &slots[i];
        }
        second = &slots[i];
    }
    return second;
}

/* Starts tasks one by one, each with a run of its own, or missing members
 * under the run that the others of their gang wait with. A worker that was
 * told to stop such a member would turn it away. */
static void
place_each(fv_sched_t *sched, fv_sched_stage_t *stage, fv_slot_t *slots,
           uint32_t count, int64_t now_ms)
{
    bool gang = stage->step->gang;

    for (int32_t i = 0; i < stage->step->task_count; i++) {
        fv_sched_task_t *task = &stage->tasks[i];
        fv_slot_t *slot;

        if (!may_start(sched, task)) {
            continue;
        }
        slot = best_slot(task, slots, count);
        if (slot == NULL || (gang && slot->worker == task->failed_on)) {
            return;
        }
        start_task(sched, task, slot,
                   gang ? stage->gang_run : next_run(sched, task), now_ms);
    }
}

static void
place_gang(fv_sched_t *sched, fv_sched_stage_t *stage, fv_slot_t *slots,
           uint32_t count, int64_t now_ms)
{
    int32_t run = sched->run_base;
    uint32_t slot = 0;

    if (stage->step->same_rack) {
        count = keep_one_rack(stage, slots, count);
    }
    if (stage->waiting < stage->step->task_count) {
        if (FvSched_MayRefillGang(sched, stage, now_ms)) {
            place_each(sched, stage, slots, count, now_ms);
        }
        return;
    }
    if (room_in(slots, count) < stage->step->task_count) {
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
        while (slots[slot].room <= 0) {
            slot++;
        }
        start_task(sched, &stage->tasks[i], &slots[slot], run + 1, now_ms);
    }
    stage->gang_run = run + 1;
    stage->gang_start_ms = now_ms;
    stage->gang_broken = false;
}

/**
 * FvSched_PlaceStage - start what can start of a stage
 * @sched: the scheduler
 * @stage: the stage
 * @now_ms: the time
 */
void
FvSched_PlaceStage(fv_sched_t *sched, fv_sched_stage_t *stage, int64_t now_ms)
{
    fv_slot_t *slots;
    uint32_t count;

    if (now_ms < stage->next_place_ms) {
        return;
    }
    slots = find_slots(sched, stage, now_ms, &count);
    if (count > 0 && stage->step->gang) {
        place_gang(sched, stage, slots, count, now_ms);
    }
    else if (count > 0) {
        place_each(sched, stage, slots, count, now_ms);
    }
    free(slots);
}
