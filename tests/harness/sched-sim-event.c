/*
 * The simulated cell: random numbers, violations and the event queue.
 */

#include "sched-sim-internal.h"

/**
 * FvSim_RandomBelow - draw a random number
 * @sim: the cell
 * @below: exclusive upper bound
 *
 * Return: the number.
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
 * FvSim_FaultOccurs - decide at random whether a fault occurs
 * @sim: the cell
 * @per_mille: probability, of 1,000
 *
 * Return: true when it occurs; never after the end of the faults.
 */
bool
FvSim_FaultOccurs(sim_t *sim, uint32_t per_mille)
{
    return sim->now_ms < sim->plan->faults_end_ms &&
           FvSim_RandomBelow(sim, 1000) < per_mille;
}

/**
 * FvSim_AddViolation - count a violation and keep the text of the first
 * @sim: the cell
 * @count: counter of this kind of violation
 * @what: description of the kind
 * @name: the task or job
 */
void
FvSim_AddViolation(sim_t *sim, uint32_t *count, const char *what,
                   const char *name)
{
    (*count)++;
    if (sim->result->first_violation[0] == '\0') {
        snprintf(sim->result->first_violation,
                 sizeof(sim->result->first_violation),
                 "%s %s at %" PRId64 " ms, leader %d", what, name, sim->now_ms,
                 sim->generation);
    }
}

static bool
earlier(const sim_event_t *a, const sim_event_t *b)
{
    return a->at_ms != b->at_ms ? a->at_ms < b->at_ms
                                : a->sequence < b->sequence;
}

static void
swap(sim_event_t *a, sim_event_t *b)
{
    sim_event_t other = *a;

    *a = *b;
    *b = other;
}

static void
insert(sim_t *sim, sim_event_t event)
{
    uint32_t index = sim->event_count++;

    CU_ASSERT_FATAL(index < EVENTS_MAX);
    sim->events[index] = event;
    while (index > 0 &&
           earlier(&sim->events[index], &sim->events[(index - 1) / 2])) {
        swap(&sim->events[index], &sim->events[(index - 1) / 2]);
        index = (index - 1) / 2;
    }
}

/**
 * FvSim_Schedule - add an event to the queue
 * @sim: the cell
 * @event: the event; its memory passes to the queue
 */
void
FvSim_Schedule(sim_t *sim, sim_event_t event)
{
    event.sequence = sim->next_event_sequence++;
    insert(sim, event);
}

/**
 * FvSim_Postpone - put an event that was taken back into the queue
 * @sim: the cell
 * @event: the event; its memory passes to the queue
 * @until_ms: when it is due; events that are postponed until one time keep
 *            their order
 */
void
FvSim_Postpone(sim_t *sim, sim_event_t *event, int64_t until_ms)
{
    event->at_ms = until_ms;
    insert(sim, *event);
    *event = (sim_event_t){0};
}

/**
 * FvSim_TakeEvent - remove the earliest event
 * @sim: the cell; its queue is not empty
 *
 * Return: the event; released with FvSim_ClearEvent().
 */
sim_event_t
FvSim_TakeEvent(sim_t *sim)
{
    sim_event_t first = sim->events[0];
    uint32_t index = 0;

    sim->events[0] = sim->events[--sim->event_count];
    for (;;) {
        uint32_t child = 2 * index + 1;

        if (child + 1 < sim->event_count &&
            earlier(&sim->events[child + 1], &sim->events[child])) {
            child++;
        }
        if (child >= sim->event_count ||
            !earlier(&sim->events[child], &sim->events[index])) {
            return first;
        }
        swap(&sim->events[index], &sim->events[child]);
        index = child;
    }
}

/**
 * FvSim_ClearEvent - release an event's memory
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
 * FvSim_OneWayDelayMs - draw the network delay between a host and a worker
 * @sim: the cell
 *
 * Return: the delay.
 */
int64_t
FvSim_OneWayDelayMs(sim_t *sim)
{
    return 1 + FvSim_RandomBelow(sim, 24);
}

/**
 * FvSim_LateDelayMs - draw the delay of an order that is executed late
 * @sim: the cell
 *
 * Return: the delay; half of them are below a second.
 */
int64_t
FvSim_LateDelayMs(sim_t *sim)
{
    return ORDER_DELAY_MIN_MS +
           FvSim_RandomBelow(sim,
                             FvSim_RandomBelow(sim, 2) == 0
                                 ? 1000
                                 : ORDER_DELAY_MAX_MS - ORDER_DELAY_MIN_MS);
}
