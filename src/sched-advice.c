/*
 * Tickets of the advice service. A stage whose queue needs advice runs only on
 * workers that the service allows, each with a ticket that expires.
 */

#include "scheduler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A ticket must outlive the delivery of the order that carries it: two
 * crossings of the slowest link (40 ms) plus the wait for a connection. */
#define Fv_TICKET_MARGIN_MS 120

/* Limit of the advice service for one call. */
#define Fv_ADVICE_CALL_WORKERS_MAX 100

/* A call without workers costs about 70 times as much as each worker in it on
 * the platform, and a verdict never changes. A call therefore includes as many
 * workers as add this share to its cost, which saves later calls. */
#define Fv_ADVICE_CALL_EXTRA_COST_SHARE 0.35

/* For a stage of at most this many waiting tasks, workers are added to a call
 * until the expected capacity is this multiple of the waiting tasks. */
#define Fv_SMALL_STAGE_TASKS_MAX 2
#define Fv_SMALL_STAGE_SURPLUS 2.0
#define Fv_ADVICE_CALL_WORKERS_MIN 5

/* A gang has enough allowed workers when their total capacity is this multiple
 * of its size. It renews tickets when the allowed workers have free capacity
 * for this share of its tasks. */
#define Fv_GANG_SURPLUS 1.5
#define Fv_GANG_RENEW_SHARE 0.6

/* A gang whose allowed workers are busy asks about further ones when the
 * expected free capacity is this multiple of its size. */
#define Fv_GANG_UNKNOWN_SURPLUS 1.2

/* A call also renews the tickets that expire within this time. */
#define Fv_TICKET_RENEW_MS 500

/* Weight of a step's data rack: a task takes up to 3 times as long elsewhere.
 */
#define Fv_DATA_RACK_FACTOR 8.0

/* Grades of speed beyond this many do not matter more in a score. */
#define Fv_SPEED_WEIGHT_GRADES 4

/* How long a step that asks for one rack tries racks on which the service may
 * allow too few workers; two calls, of three that a start may wait for. */
#define Fv_RACK_SEARCH_MS 1000

/* Weight of one verdict in the moving average of the allowed share, and the
 * lower bound of that average. */
#define Fv_ALLOWED_SHARE_WEIGHT 0.1
#define Fv_ALLOWED_SHARE_MIN 0.1

/* Minimum time between an answer and the next call for the same stage. */
#define Fv_ADVICE_INTERVAL_MS 20

typedef struct fv_candidate {
    fv_sched_worker_t *worker;
    bool is_renewal; /* allowed; its ticket has expired or is about to */
    double score;
    int32_t capacity;      /* free */
    double expected_tasks; /* the same times the chance of a ticket */
} fv_candidate_t;

/* Free capacity for tasks of a stage, by the state of the tickets. */
typedef struct fv_ticket_coverage {
    int32_t valid_capacity;            /* with a valid ticket */
    int32_t renewable_capacity;        /* allowed, with an expired ticket */
    int32_t unknown_capacity;          /* on workers without a verdict */
    double expected_unknown_capacity;  /* the part that is likely allowed */
    int32_t allowed_eventual_capacity; /* once tasks that end have ended */
    uint32_t candidate_count;
} fv_ticket_coverage_t;

/**
 * FvSched_FindVerdict - find the advice service's verdict on a worker
 * @stage: the stage
 * @worker: the worker
 *
 * Return: the verdict, or NULL when the service was not asked.
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
 * FvSched_TicketValid - check whether a ticket can be used for a start now
 * @verdict: the verdict that carries the ticket
 * @now_ms: the time
 *
 * Return: false when the worker is not allowed or the ticket expires before an
 * order can reach the worker.
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

static double
draw_jitter(fv_sched_t *sched)
{
    return 0.75 + (double)(FvSched_Random(sched) % 512) / 1024.0;
}

/* Doubles the score for each grade. Full workers stay behind all others, since
 * their tickets can't be used at once. */
static double
weigh_speed(double score, int32_t preference, int32_t capacity)
{
    int32_t grades =
        preference > Fv_SPEED_WEIGHT_GRADES    ? Fv_SPEED_WEIGHT_GRADES
        : preference < -Fv_SPEED_WEIGHT_GRADES ? -Fv_SPEED_WEIGHT_GRADES
                                               : preference;

    return ldexp(score,
                 capacity > 0 ? grades : grades - 3 * Fv_SPEED_WEIGHT_GRADES);
}

/* Prefers workers with more free capacity, and among those with any the ones
 * of the speed that the stage prefers. The jitter keeps stages that request
 * advice at the same time from competing for the same workers. */
static double
score_worker(fv_sched_t *sched, const fv_sched_stage_t *stage,
             const fv_speed_match_t *match, const fv_sched_worker_t *worker,
             int32_t capacity)
{
    double score = draw_jitter(sched);

    score *= 0.25 + (capacity < stage->waiting ? capacity : stage->waiting);
    if (stage->step->data_rack[0] != '\0' &&
        strcmp(stage->step->data_rack, worker->entry.rack) == 0) {
        score *= Fv_DATA_RACK_FACTOR;
    }
    if (match->in_use) {
        score = weigh_speed(score, FvSched_SpeedPreference(match, worker),
                            capacity);
    }
    return score;
}

/* Counts what a gang can gain by preemption as free. */
static int32_t
usable_capacity(const fv_sched_worker_t *worker, const fv_sched_stage_t *stage,
                int64_t now_ms)
{
    return stage->step->gang
               ? FvSched_TaskCapacityAfterPreemption(worker, stage, now_ms)
               : FvSched_FreeStageCapacity(worker, stage);
}

static bool
needs_renewal(const fv_verdict_t *verdict, int64_t now_ms)
{
    return verdict->expires_ms <= now_ms + Fv_TICKET_RENEW_MS;
}

static void
add_allowed_worker(const fv_sched_stage_t *stage, const fv_verdict_t *verdict,
                   fv_ticket_coverage_t *coverage, fv_candidate_t *candidates,
                   int64_t now_ms)
{
    int32_t capacity = usable_capacity(verdict->worker, stage, now_ms);
    int32_t eventual =
        FvSched_IsReservedForOther(verdict->worker, stage)
            ? capacity
            : FvSched_EventualStageCapacity(verdict->worker, stage);

    if (eventual == 0 ||
        !FvSched_IsWorkerEligible(verdict->worker, stage, now_ms)) {
        return;
    }
    coverage->allowed_eventual_capacity += eventual;
    if (FvSched_TicketValid(verdict, now_ms)) {
        coverage->valid_capacity += capacity;
    }
    else {
        coverage->renewable_capacity += capacity;
    }
    if (needs_renewal(verdict, now_ms)) {
        candidates[coverage->candidate_count++] =
            (fv_candidate_t){.worker = verdict->worker,
                             .is_renewal = true,
                             .capacity = capacity,
                             .expected_tasks = capacity};
    }
}

static void
add_unknown_worker(fv_sched_t *sched, const fv_sched_stage_t *stage,
                   const fv_speed_match_t *match, fv_sched_worker_t *worker,
                   double share, fv_ticket_coverage_t *coverage,
                   fv_candidate_t *candidates, int64_t now_ms)
{
    int32_t capacity = usable_capacity(worker, stage, now_ms);

    coverage->unknown_capacity += capacity;
    coverage->expected_unknown_capacity += capacity * share;
    candidates[coverage->candidate_count++] = (fv_candidate_t){
        .worker = worker,
        .capacity = capacity,
        .expected_tasks = capacity * share,
        .score = score_worker(sched, stage, match, worker, capacity)};
}

static bool has_enough_allowed(const fv_sched_stage_t *stage,
                               const fv_ticket_coverage_t *coverage);

/* Scans the workers without a verdict only when the allowed ones do not
 * suffice; most passes end after the first loop. */
static fv_ticket_coverage_t
scan_workers(fv_sched_t *sched, const fv_sched_stage_t *stage,
             fv_candidate_t *candidates, int64_t now_ms)
{
    double share =
        FvSched_QueueEstimates(sched, stage->job->queue.name)->allowed_share;
    fv_ticket_coverage_t coverage = {0};
    fv_speed_match_t match;

    sched->advice_searches++;
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        const fv_verdict_t *verdict = &stage->verdicts[i];

        verdict->worker->verdict_search = sched->advice_searches;
        if (verdict->allowed) {
            add_allowed_worker(stage, verdict, &coverage, candidates, now_ms);
        }
    }
    if (coverage.valid_capacity >= stage->waiting ||
        (has_enough_allowed(stage, &coverage) &&
         coverage.valid_capacity + coverage.renewable_capacity >=
             (stage->step->gang ? stage->waiting : 1))) {
        return coverage;
    }
    match = FvSched_MatchSpeed(sched, stage, now_ms);
    for (fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->verdict_search != sched->advice_searches &&
            FvSched_EventualStageCapacity(worker, stage) > 0 &&
            FvSched_IsWorkerEligible(worker, stage, now_ms)) {
            add_unknown_worker(sched, stage, &match, worker, share, &coverage,
                               candidates, now_ms);
        }
    }
    return coverage;
}

static bool
has_enough_allowed(const fv_sched_stage_t *stage,
                   const fv_ticket_coverage_t *coverage)
{
    return coverage->allowed_eventual_capacity >=
           stage->waiting * (stage->step->gang ? Fv_GANG_SURPLUS : 1.0);
}

/* A call is worth its cost only if its tickets can be used at once. */
static bool
should_request_advice(const fv_sched_stage_t *stage,
                      const fv_ticket_coverage_t *coverage)
{
    int32_t capacity = coverage->valid_capacity + coverage->renewable_capacity;

    if (coverage->valid_capacity >= stage->waiting) {
        return false;
    }
    if (stage->step->gang) {
        return !has_enough_allowed(stage, coverage) ||
               capacity + coverage->expected_unknown_capacity >=
                   stage->waiting * Fv_GANG_UNKNOWN_SURPLUS ||
               (coverage->renewable_capacity > 0 &&
                capacity >= stage->waiting * Fv_GANG_RENEW_SHARE);
    }
    return coverage->renewable_capacity > 0 ||
           (coverage->unknown_capacity > 0 &&
            !has_enough_allowed(stage, coverage)) ||
           (coverage->unknown_capacity > 0 && capacity == 0);
}

/* Room for tasks of a stage on the workers of a rack. */
typedef struct fv_rack_room {
    double possible_tasks; /* if the service allows all workers */
    double expected_tasks;
    UT_hash_handle hh;
} fv_rack_room_t;

static void
add_rack_room(fv_rack_room_t **racks, fv_rack_room_t *unused,
              const fv_sched_worker_t *worker, double possible_tasks,
              double expected_tasks)
{
    fv_rack_room_t *rack = NULL;

    HASH_FIND_STR(*racks, worker->entry.rack, rack);
    if (rack == NULL) {
        rack = unused;
        HASH_ADD_KEYPTR(hh, *racks, worker->entry.rack,
                        strlen(worker->entry.rack), rack);
    }
    rack->possible_tasks += possible_tasks;
    rack->expected_tasks += expected_tasks;
}

/* Returns the name of the rack with the most room among those that have enough
 * for all waiting tasks, or NULL. At first a rack may be tried that has enough
 * if the service allows its workers. The jitter keeps stages that request
 * advice at the same time from competing for the same rack. */
static const char *
find_best_rack(fv_sched_t *sched, const fv_sched_stage_t *stage,
               const fv_rack_room_t *racks, int64_t now_ms)
{
    bool searching = now_ms - stage->waiting_since_ms < Fv_RACK_SEARCH_MS;
    const char *best = NULL;
    double best_score = 0.0;

    for (const fv_rack_room_t *rack = racks; rack != NULL;
         rack = rack->hh.next) {
        double room = searching ? rack->possible_tasks : rack->expected_tasks;
        double score = rack->expected_tasks * draw_jitter(sched);

        if (stage->step->data_rack[0] != '\0' &&
            strcmp(stage->step->data_rack, rack->hh.key) == 0) {
            score *= Fv_DATA_RACK_FACTOR;
        }
        if (room >= stage->waiting && score > best_score) {
            best_score = score;
            best = rack->hh.key;
        }
    }
    return best;
}

/* For tasks that are slower on several racks: keeps the candidates of the best
 * rack, or all of them when no rack has room for all waiting tasks. Several
 * racks are better than waiting. */
static uint32_t
keep_best_rack(fv_sched_t *sched, const fv_sched_stage_t *stage,
               fv_candidate_t *candidates, uint32_t count, int64_t now_ms)
{
    fv_rack_room_t *rooms =
        calloc((size_t)count + stage->verdict_count, sizeof(*rooms));
    fv_rack_room_t *racks = NULL;
    const char *best;
    uint32_t kept = 0;

    if (rooms == NULL) {
        return count;
    }
    for (uint32_t i = 0; i < count; i++) {
        add_rack_room(&racks, &rooms[i], candidates[i].worker,
                      candidates[i].capacity, candidates[i].expected_tasks);
    }
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        const fv_verdict_t *verdict = &stage->verdicts[i];

        if (verdict->allowed && !needs_renewal(verdict, now_ms) &&
            FvSched_IsWorkerEligible(verdict->worker, stage, now_ms)) {
            int32_t capacity = usable_capacity(verdict->worker, stage, now_ms);

            add_rack_room(&racks, &rooms[count + i], verdict->worker, capacity,
                          capacity);
        }
    }
    best = find_best_rack(sched, stage, racks, now_ms);
    for (uint32_t i = 0; i < count; i++) {
        if (best == NULL ||
            strcmp(candidates[i].worker->entry.rack, best) == 0) {
            candidates[kept++] = candidates[i];
        }
    }
    HASH_CLEAR(hh, racks);
    free(rooms);
    return kept;
}

/* How many workers a call may include within the extra cost share. */
static uint32_t
call_workers_max(const fv_cell_queue_t *queue)
{
    int64_t count = Fv_ADVICE_CALL_WORKERS_MAX;

    if (queue->advice_per_worker_us > 0) {
        count = (int64_t)((double)queue->advice_base_us *
                          Fv_ADVICE_CALL_EXTRA_COST_SHARE /
                          (double)queue->advice_per_worker_us);
    }
    if (count > Fv_ADVICE_CALL_WORKERS_MAX) {
        count = Fv_ADVICE_CALL_WORKERS_MAX;
    }
    return count < Fv_ADVICE_CALL_WORKERS_MIN ? Fv_ADVICE_CALL_WORKERS_MIN
                                              : (uint32_t)count;
}

static uint32_t
choose_workers(const fv_sched_stage_t *stage, fv_candidate_t *candidates,
               const fv_ticket_coverage_t *coverage,
               fv_sched_worker_t **chosen)
{
    bool is_small =
        !stage->step->gang && stage->waiting <= Fv_SMALL_STAGE_TASKS_MAX;
    uint32_t workers_max = call_workers_max(&stage->job->queue);
    double expected_tasks = coverage->valid_capacity;
    uint32_t chosen_count = 0;

    for (uint32_t i = 0; i < coverage->candidate_count &&
                         chosen_count < Fv_ADVICE_CALL_WORKERS_MAX;
         i++) {
        if (candidates[i].is_renewal) {
            chosen[chosen_count++] = candidates[i].worker;
            expected_tasks += candidates[i].expected_tasks;
        }
    }
    if (chosen_count > 0 && has_enough_allowed(stage, coverage) &&
        expected_tasks >= (stage->step->gang ? stage->waiting : 1)) {
        return chosen_count;
    }
    FvSelect_Best(candidates, coverage->candidate_count, sizeof(*candidates),
                  Fv_ADVICE_CALL_WORKERS_MAX, by_score);
    for (uint32_t i = 0; i < coverage->candidate_count &&
                         chosen_count < Fv_ADVICE_CALL_WORKERS_MAX;
         i++) {
        if (candidates[i].is_renewal) {
            continue;
        }
        if (chosen_count >= workers_max &&
            (!stage->step->gang ||
             expected_tasks >= stage->waiting * Fv_GANG_SURPLUS)) {
            break; /* a gang needs capacity for all its tasks at one time */
        }
        if (is_small && chosen_count >= Fv_ADVICE_CALL_WORKERS_MIN &&
            expected_tasks >= stage->waiting * Fv_SMALL_STAGE_SURPLUS) {
            break;
        }
        chosen[chosen_count++] = candidates[i].worker;
        expected_tasks += candidates[i].expected_tasks;
    }
    return chosen_count;
}

/**
 * FvSched_RequestAdvice - request tickets from the advice service when the
 * valid ones do not cover the waiting tasks of a stage
 * @sched: the scheduler
 * @stage: the stage
 * @now_ms: the time
 */
void
FvSched_RequestAdvice(fv_sched_t *sched, fv_sched_stage_t *stage,
                      int64_t now_ms)
{
    uint32_t total = HASH_COUNT(sched->workers);
    fv_sched_worker_t *chosen[Fv_ADVICE_CALL_WORKERS_MAX];
    fv_candidate_t *candidates;
    fv_ticket_coverage_t coverage;
    uint32_t count;

    if (!stage->job->queue.needs_advice ||
        stage->pending_advice_requests > 0 ||
        now_ms < stage->next_advice_request_ms || total == 0 ||
        stage->job->queue.advice_base_us >= sched->refused_advice_cost_us) {
        return;
    }
    candidates = malloc(((size_t)total + 1) * sizeof(*candidates));
    if (candidates == NULL) {
        return;
    }
    coverage = scan_workers(sched, stage, candidates, now_ms);
    if (should_request_advice(stage, &coverage)) {
        if (stage->step->same_rack) {
            coverage.candidate_count = keep_best_rack(
                sched, stage, candidates, coverage.candidate_count, now_ms);
        }
        count = choose_workers(stage, candidates, &coverage, chosen);
        if (count > 0 &&
            sched->ops->request_advice(sched, stage, chosen, count)) {
            stage->pending_advice_requests++;
        }
        else if (count > 0) {
            sched->refused_advice_cost_us = stage->job->queue.advice_base_us;
        }
    }
    else {
        stage->next_advice_request_ms = now_ms + sched->rescan_ms;
    }
    free(candidates);
}

static fv_verdict_t *
get_or_add_verdict(fv_sched_stage_t *stage, fv_sched_worker_t *worker)
{
    fv_verdict_t *verdict = FvSched_FindVerdict(stage, worker);

    if (verdict != NULL) {
        return verdict;
    }
    if (stage->verdict_count == stage->verdict_capacity) {
        uint32_t new_capacity = stage->verdict_capacity * 2 + 16;
        fv_verdict_t *grown =
            realloc(stage->verdicts, new_capacity * sizeof(*grown));

        if (grown == NULL) {
            return NULL;
        }
        stage->verdicts = grown;
        stage->verdict_capacity = new_capacity;
    }
    verdict = &stage->verdicts[stage->verdict_count++];
    *verdict = (fv_verdict_t){.worker = worker};
    return verdict;
}

static const fv_advice_row_t *
find_advice_row(const fv_advice_t *advice, const char *worker_id)
{
    for (uint32_t i = 0; i < advice->row_count; i++) {
        if (strcmp(advice->rows[i].worker_id, worker_id) == 0) {
            return &advice->rows[i];
        }
    }
    return NULL;
}

/**
 * FvSched_ApplyAdvice - apply the answer of the advice service, or its absence
 * @sched: the scheduler
 * @stage: the stage that was asked about
 * @asked: the workers of the call; NULL for those that were removed or
 *         restarted since
 * @count: number of workers
 * @advice: the answer, or NULL when none came
 * @now_ms: the time
 */
void
FvSched_ApplyAdvice(fv_sched_t *sched, fv_sched_stage_t *stage,
                    fv_sched_worker_t *const *asked, uint32_t count,
                    const fv_advice_t *advice, int64_t now_ms)
{
    double *share =
        &FvSched_QueueEstimates(sched, stage->job->queue.name)->allowed_share;

    stage->pending_advice_requests--;
    stage->next_advice_request_ms = now_ms + Fv_ADVICE_INTERVAL_MS;
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
        verdict = get_or_add_verdict(stage, asked[i]);
        if (verdict == NULL) {
            return;
        }
        row = find_advice_row(advice, asked[i]->entry.id);
        verdict->allowed = row != NULL;
        if (row != NULL) {
            free(verdict->ticket);
            verdict->ticket = strdup(row->ticket);
            verdict->expires_ms = now_ms + stage->job->queue.ticket_valid_ms;
        }
        *share += ((row != NULL) - *share) * Fv_ALLOWED_SHARE_WEIGHT;
    }
    if (*share < Fv_ALLOWED_SHARE_MIN) {
        *share = Fv_ALLOWED_SHARE_MIN;
    }
}
