/*
 * The simulated cell: luck, and events in the order of their time.
 */

#include "sched-sim-internal.h"

/**
 * FvSim_RandomBelow - a number of the run's luck
 * @sim: the cell
 * @below: it is below this
 */
uint32_t
FvSim_RandomBelow(sim_t *sim, uint32_t below)
{
    sim->random ^= sim->random << 13;
    sim->random ^= sim->random >> 7;
    sim->random ^= sim->random << 17;
    return (uint32_t)(sim->random >> 20) % below;
}

/**
 * FvSim_FaultOccurs - whether a fault happens now
 * @sim: the cell
 * @per_mille: how likely, of 1,000
 */
bool
FvSim_FaultOccurs(sim_t *sim, uint32_t per_mille)
{
    return sim->now_ms < sim->plan->faults_end_ms &&
           FvSim_RandomBelow(sim, 1000) < per_mille;
}

/**
 * FvSim_AddViolation - count a broken promise
 * @sim: the cell
 * @count: which promise
 * @what: its name
 * @name: the name
 */
void
FvSim_AddViolation(sim_t *sim, uint32_t *count, const char *what,
                   const char *name)
{
    (*count)++;
    if (sim->result->first[0] == '\0') {
        snprintf(sim->result->first, sizeof(sim->result->first),
                 "%s %s at %" PRId64 " ms, leader %d", what, name, sim->now_ms,
                 sim->generation);
    }
}

static bool
earlier(const sim_event_t *a, const sim_event_t *b)
{
    return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
swap(sim_event_t *a, sim_event_t *b)
{
    sim_event_t other = *a;

    *a = *b;
    *b = other;
}

/**
 * FvSim_Schedule - have an event happen at its time
 * @sim: the cell
 * @event: the event
 */
void
FvSim_Schedule(sim_t *sim, sim_event_t event)
{
    uint32_t at = sim->event_count++;

    CU_ASSERT_FATAL(at < EVENTS_MAX);
    event.order = sim->event_order++;
    sim->events[at] = event;
    while (at > 0 && earlier(&sim->events[at], &sim->events[(at - 1) / 2])) {
        swap(&sim->events[at], &sim->events[(at - 1) / 2]);
        at = (at - 1) / 2;
    }
}

/**
 * FvSim_TakeEvent - the next event
 * @sim: the cell
 */
sim_event_t
FvSim_TakeEvent(sim_t *sim)
{
    sim_event_t first = sim->events[0];
    uint32_t at = 0;

    sim->events[0] = sim->events[--sim->event_count];
    for (;;) {
        uint32_t child = 2 * at + 1;

        if (child + 1 < sim->event_count &&
            earlier(&sim->events[child + 1], &sim->events[child])) {
            child++;
        }
        if (child >= sim->event_count ||
            !earlier(&sim->events[child], &sim->events[at])) {
            return first;
        }
        swap(&sim->events[at], &sim->events[child]);
        at = child;
    }
}

/**
 * FvSim_ClearEvent - release what an event holds
 * @event: the event
 */
void
FvSim_ClearEvent(sim_event_t *event)
{
    for (uint32_t i = 0; i < event->worker_count; i++) {
        free(event->workers[i]);
    }
    free(event->workers);
    FvBuffer_Clear(&event->value);
    FvWorkerReport_Clear(&event->report);
}

/**
 * FvSim_OneWayDelayMs - time of one way between a host and a worker
 * @sim: the cell
 */
int64_t
FvSim_OneWayDelayMs(sim_t *sim)
{
    return 1 + FvSim_RandomBelow(sim, 24);
}
