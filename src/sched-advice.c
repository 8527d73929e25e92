/*
 * Tickets: which workers the advice service is asked about for a stage, and
 * what it said.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

/* A ticket is not used when it ends within the time an order may take to
 * reach the worker: two crossings of the slowest link, 40 ms, and its wait
 * for a connection. */
#define Fv_TICKET_MARGIN_MS 120

/* Workers named in one call; the service takes at most 100. */
#define Fv_ASK_WORKERS_MAX 100

/* A call costs about 70 times what one more worker in it does (decisionMs
 * against perWorkerMs on the sheets), and its verdicts hold for good. Naming
 * so many workers that they add this share to the call's cost saves later
 * calls. */
#define Fv_ASK_EXTRA_COST 0.35

/* A stage of few tasks is asked about until this multiple of its need can be
 * expected. */
#define Fv_ASK_FEW_TASKS 2
#define Fv_ASK_SURPLUS 2.0
#define Fv_ASK_WORKERS_MIN 5

/* A gang knows enough workers when these, empty, could hold it so many times;
 * it renews its tickets when this share of the room is free. */
#define Fv_GANG_SURPLUS 1.5
#define Fv_GANG_REFRESH_SHARE 0.6

/* It asks about further workers when these are likely to have more room than
 * it needs, and those that it knows are busy. */
#define Fv_GANG_ROOM_ELSEWHERE 1.2

/* Tickets that end within this are renewed with the others. */
#define Fv_TICKET_RENEW_MS 500

/* How much one worker counts for the learned share. */
#define Fv_ALLOWED_SHARE_WEIGHT 0.1
#define Fv_ALLOWED_SHARE_MIN 0.1

/* Pause before the next call after one that brought too little. */
#define Fv_ASK_PAUSE_MS 20

typedef struct fv_candidate {
    fv_sched_worker_t *worker;
    bool known; /* allowed, but its ticket has run out */
    double score;
    double expected; /* tasks that it can be expected to take now */
} fv_candidate_t;

/* What is known of the workers for a stage. */
typedef struct fv_outlook {
    int32_t room_now;        /* with a valid ticket */
    int32_t room_renewed;    /* with a ticket that can be renewed */
    int32_t room_unknown;    /* on workers that were not asked about */
    double expected_unknown; /* the part of it that is likely allowed */
    int32_t potential;       /* of all allowed workers, were they empty */
    uint32_t candidates;
} fv_outlook_t;

/**
 * FvSched_FindVerdict - what the advice service said of a worker
 * @stage: the stage
 * @worker: the worker
 *
 * Return: the verdict, or NULL when it was not asked.
 */
fv_verdict_t *
FvSched_FindVerdict(const fv_sched_stage_t *stage,
                    const fv_sched_worker_t *worker)
{
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        if (stage->verdicts[i].worker == worker) {
            return &stage->verdicts[i];
        }
    }
    return NULL;
}

/**
 * FvSched_TicketValid - whether a verdict lets its worker run the stage now
 * @verdict: the verdict
 * @now_ms: the time
 *
 * Return: false when it does not, or when its ticket has run out.
 */
bool
FvSched_TicketValid(const fv_verdict_t *verdict, int64_t now_ms)
{
    return verdict->allowed &&
           verdict->expires_ms > now_ms + Fv_TICKET_MARGIN_MS;
}

static int
by_score(const void *left, const void *right)
{
    const fv_candidate_t *a = left;
    const fv_candidate_t *b = right;

    return a->score < b->score ? 1 : a->score > b->score ? -1 : 0;
}

/* Workers with more room come first, with some chance, so that stages asked
 * about at the same time do not all compete for the same ones. */
static double
score_worker(fv_sched_t *sched, const fv_sched_stage_t *stage,
             const fv_sched_worker_t *worker, int32_t room)
{
    double chance = 0.75 + (double)(FvSched_Random(sched) % 512) / 1024.0;
    double score = chance;

    score *= 0.25 + (room < stage->waiting ? room : stage->waiting);
    if (stage->step->data_rack[0] != '\0' &&
        strcmp(stage->step->data_rack, worker->entry.rack) == 0) {
        score *= 8.0; /* off the data's rack a task takes up to 3 times */
    }
    return score;
}

/* A gang may have less urgent tasks stopped. */
static int32_t
room_for(const fv_sched_worker_t *worker, const fv_sched_stage_t *stage,
         int64_t now_ms)
{
    return stage->step->gang
               ? FvSched_TaskCapacityAfterPreemption(worker, stage, now_ms)
               : FvSched_FreeTaskCapacity(worker, stage->step);
}

/* Adds a worker that may run the stage; its ticket may have run out. */
static void
judge_allowed(const fv_sched_stage_t *stage, const fv_verdict_t *verdict,
              fv_outlook_t *outlook, fv_candidate_t *candidates,
              int64_t now_ms)
{
    int32_t room = room_for(verdict->worker, stage, now_ms);

    if (!FvSched_IsWorkerEligible(verdict->worker, stage, now_ms)) {
        return;
    }
    outlook->potential +=
        FvSched_TotalTaskCapacity(verdict->worker, stage->step);
    if (FvSched_TicketValid(verdict, now_ms)) {
        outlook->room_now += room;
    }
    else {
        outlook->room_renewed += room;
    }
    if (verdict->expires_ms <= now_ms + Fv_TICKET_RENEW_MS) {
        candidates[outlook->candidates++] = (fv_candidate_t){
            .worker = verdict->worker, .known = true, .expected = room};
    }
}

static void
judge_unknown(fv_sched_t *sched, const fv_sched_stage_t *stage,
              fv_sched_worker_t *worker, double share, fv_outlook_t *outlook,
              fv_candidate_t *candidates, int64_t now_ms)
{
    int32_t room = room_for(worker, stage, now_ms);

    outlook->room_unknown += room;
    outlook->expected_unknown += room * share;
    candidates[outlook->candidates++] =
        (fv_candidate_t){.worker = worker,
                         .expected = room * share,
                         .score = score_worker(sched, stage, worker, room)};
}

static bool knows_enough(const fv_sched_stage_t *stage,
                         const fv_outlook_t *outlook);

/* Workers without a verdict are looked at only when those with one are too
 * few: most passes end with the first loop. */
static fv_outlook_t
look_around(fv_sched_t *sched, const fv_sched_stage_t *stage,
            fv_candidate_t *candidates, int64_t now_ms)
{
    double share =
        FvSched_QueueEstimates(sched, stage->job->queue.name)->allowed_share;
    fv_outlook_t outlook = {0};

    sched->advice_searches++;
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        const fv_verdict_t *verdict = &stage->verdicts[i];

        verdict->worker->verdict_search = sched->advice_searches;
        if (verdict->allowed) {
            judge_allowed(stage, verdict, &outlook, candidates, now_ms);
        }
    }
    if (outlook.room_now >= stage->waiting ||
        (knows_enough(stage, &outlook) &&
         outlook.room_now + outlook.room_renewed >=
             (stage->step->gang ? stage->waiting : 1))) {
        return outlook;
    }
    for (fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->verdict_search != sched->advice_searches &&
            FvSched_TotalTaskCapacity(worker, stage->step) > 0 &&
            FvSched_IsWorkerEligible(worker, stage, now_ms)) {
            judge_unknown(sched, stage, worker, share, &outlook, candidates,
                          now_ms);
        }
    }
    return outlook;
}

static bool
knows_enough(const fv_sched_stage_t *stage, const fv_outlook_t *outlook)
{
    return outlook->potential >=
           stage->waiting * (stage->step->gang ? Fv_GANG_SURPLUS : 1.0);
}

/* Whether a call would bring tickets that can be used at once. */
static bool
is_worth_asking(const fv_sched_stage_t *stage, const fv_outlook_t *outlook)
{
    int32_t room = outlook->room_now + outlook->room_renewed;

    if (outlook->room_now >= stage->waiting) {
        return false;
    }
    if (stage->step->gang) {
        return !knows_enough(stage, outlook) ||
               room + outlook->expected_unknown >=
                   stage->waiting * Fv_GANG_ROOM_ELSEWHERE ||
               (outlook->room_renewed > 0 &&
                room >= stage->waiting * Fv_GANG_REFRESH_SHARE);
    }
    return outlook->room_renewed > 0 ||
           (outlook->room_unknown > 0 && !knows_enough(stage, outlook)) ||
           (outlook->room_unknown > 0 && room == 0);
}

/* A gang that must share a rack: the candidates of the roomiest rack. */
static uint32_t
keep_best_rack(fv_candidate_t *candidates, uint32_t count)
{
    const char *best = NULL;
    double best_score = 0.0;
    uint32_t kept = 0;

    for (uint32_t i = 0; i < count; i++) {
        double score = 0.0;

        for (uint32_t j = 0; j < count; j++) {
            if (strcmp(candidates[i].worker->entry.rack,
                       candidates[j].worker->entry.rack) == 0) {
                score += candidates[j].score;
            }
        }
        if (score > best_score) {
            best_score = score;
            best = candidates[i].worker->entry.rack;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        if (best != NULL &&
            strcmp(candidates[i].worker->entry.rack, best) == 0) {
            candidates[kept++] = candidates[i];
        }
    }
    return kept;
}

/* How many workers a call may name at little extra cost. */
static uint32_t
wide_ask(const fv_cell_queue_t *queue)
{
    int64_t count = Fv_ASK_WORKERS_MAX;

    if (queue->advice_per_worker_us > 0) {
        count = (int64_t)((double)queue->advice_base_us * Fv_ASK_EXTRA_COST /
                          (double)queue->advice_per_worker_us);
    }
    if (count > Fv_ASK_WORKERS_MAX) {
        count = Fv_ASK_WORKERS_MAX;
    }
    return count < Fv_ASK_WORKERS_MIN ? Fv_ASK_WORKERS_MIN : (uint32_t)count;
}

static uint32_t
choose_workers(const fv_sched_stage_t *stage, fv_candidate_t *candidates,
               const fv_outlook_t *outlook, fv_sched_worker_t **chosen)
{
    bool few = !stage->step->gang && stage->waiting <= Fv_ASK_FEW_TASKS;
    uint32_t wide = wide_ask(&stage->job->queue);
    double expected = outlook->room_now;
    uint32_t named = 0;

    for (uint32_t i = 0; i < outlook->candidates && named < Fv_ASK_WORKERS_MAX;
         i++) {
        if (candidates[i].known) {
            chosen[named++] = candidates[i].worker;
            expected += candidates[i].expected;
        }
    }
    if (named > 0 && knows_enough(stage, outlook) &&
        expected >= (stage->step->gang ? stage->waiting : 1)) {
        return named;
    }
    qsort(candidates, outlook->candidates, sizeof(*candidates), by_score);
    for (uint32_t i = 0; i < outlook->candidates && named < Fv_ASK_WORKERS_MAX;
         i++) {
        if (candidates[i].known) {
            continue;
        }
        if (named >= wide && (!stage->step->gang ||
                              expected >= stage->waiting * Fv_GANG_SURPLUS)) {
            break; /* a gang wants room for all its tasks at this moment */
        }
        if (few && named >= Fv_ASK_WORKERS_MIN &&
            expected >= stage->waiting * Fv_ASK_SURPLUS) {
            break;
        }
        chosen[named++] = candidates[i].worker;
        expected += candidates[i].expected;
    }
    return named;
}

/**
 * FvSched_AskAdvice - ask about more workers when the stage's tickets do not
 * cover its waiting tasks
 * @sched: the scheduler
 * @stage: the stage
 * @now_ms: the time
 */
void
FvSched_AskAdvice(fv_sched_t *sched, fv_sched_stage_t *stage, int64_t now_ms)
{
    uint32_t total = HASH_COUNT(sched->workers);
    fv_sched_worker_t *chosen[Fv_ASK_WORKERS_MAX];
    fv_candidate_t *candidates;
    fv_outlook_t outlook;
    uint32_t count;

    if (!stage->job->queue.needs_advice || stage->asks_outstanding > 0 ||
        now_ms < stage->next_ask_ms || total == 0 ||
        stage->job->queue.advice_base_us >= sched->refused_ask_cost_us) {
        return;
    }
    candidates = malloc(((size_t)total + 1) * sizeof(*candidates));
    if (candidates == NULL) {
        return;
    }
    outlook = look_around(sched, stage, candidates, now_ms);
    if (is_worth_asking(stage, &outlook)) {
        if (stage->step->same_rack) {
            outlook.candidates =
                keep_best_rack(candidates, outlook.candidates);
        }
        count = choose_workers(stage, candidates, &outlook, chosen);
        if (count > 0 && sched->ops->ask(sched, stage, chosen, count)) {
            stage->asks_outstanding++;
        }
        else if (count > 0) {
            sched->refused_ask_cost_us = stage->job->queue.advice_base_us;
        }
    }
    free(candidates);
}

static fv_verdict_t *
obtain_verdict(fv_sched_stage_t *stage, fv_sched_worker_t *worker)
{
    fv_verdict_t *verdict = FvSched_FindVerdict(stage, worker);

    if (verdict != NULL) {
        return verdict;
    }
    if (stage->verdict_count == stage->verdict_capacity) {
        uint32_t capacity = stage->verdict_capacity * 2 + 16;
        fv_verdict_t *grown =
            realloc(stage->verdicts, capacity * sizeof(*grown));

        if (grown == NULL) {
            return NULL;
        }
        stage->verdicts = grown;
        stage->verdict_capacity = capacity;
    }
    verdict = &stage->verdicts[stage->verdict_count++];
    *verdict = (fv_verdict_t){.worker = worker};
    return verdict;
}

static const fv_advice_row_t *
find_row(const fv_advice_t *advice, const char *worker_id)
{
    for (uint32_t i = 0; i < advice->row_count; i++) {
        if (strcmp(advice->rows[i].worker_id, worker_id) == 0) {
            return &advice->rows[i];
        }
    }
    return NULL;
}

/**
 * FvSched_ApplyAdvice - the advice service answered, or did not
 * @sched: the scheduler
 * @stage: the stage that was asked about
 * @asked: the workers that were named; entries may be NULL by now
 * @count: how many
 * @advice: the answer, or NULL
 * @now_ms: the time
 */
void
FvSched_ApplyAdvice(fv_sched_t *sched, fv_sched_stage_t *stage,
                    fv_sched_worker_t *const *asked, uint32_t count,
                    const fv_advice_t *advice, int64_t now_ms)
{
    double *share =
        &FvSched_QueueEstimates(sched, stage->job->queue.name)->allowed_share;

    stage->asks_outstanding--;
    stage->next_ask_ms = now_ms + Fv_ASK_PAUSE_MS;
    sched->dirty = true;
    if (advice == NULL) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        const fv_advice_row_t *row;
        fv_verdict_t *verdict;

        if (asked[i] == NULL) {
            continue;
        }
        verdict = obtain_verdict(stage, asked[i]);
        if (verdict == NULL) {
            return;
        }
        row = find_row(advice, asked[i]->entry.id);
        verdict->allowed = row != NULL;
        if (row != NULL) {
            FvText_Copy(verdict->ticket, sizeof(verdict->ticket), row->ticket);
            verdict->expires_ms = now_ms + stage->job->queue.ticket_valid_ms;
        }
        *share += ((row != NULL) - *share) * Fv_ALLOWED_SHARE_WEIGHT;
    }
    if (*share < Fv_ALLOWED_SHARE_MIN) {
        *share = Fv_ALLOWED_SHARE_MIN;
    }
}
