/*
 * Event loop of the scheduler thread. Other threads post events through a
 * bounded ring; timers are kept in a binary heap.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <urcu.h>

#define Fv_LOOP_MAX_WAIT_MS 1000

struct fv_loop {
    fv_ring_t *ring;
    fv_timer_t **heap;
    int32_t timer_count;
    int32_t timer_capacity;
    atomic_bool stopped;
};

/**
 * FvLoop_New - allocate a loop
 * @capacity: largest number of queued events
 *
 * Return: the loop, or NULL when memory is exhausted.
 */
fv_loop_t *
FvLoop_New(uint32_t capacity)
{
    fv_loop_t *loop = calloc(1, sizeof(*loop));

    if (loop == NULL) {
        return NULL;
    }
    loop->ring = FvRing_New(capacity);
    if (loop->ring == NULL) {
        free(loop);
        return NULL;
    }
    return loop;
}

static void
free_event(fv_event_t *event)
{
    if (event->type->free != NULL) {
        event->type->free(event);
    }
}

/**
 * FvLoop_Clear - disarm all timers and free queued events without running them
 * @loop: the loop; must have stopped
 *
 * Must be called before the owners of timers and events are freed.
 */
void
FvLoop_Clear(fv_loop_t *loop)
{
    fv_event_t *event;

    while (loop->timer_count > 0) {
        loop->heap[--loop->timer_count]->armed = false;
    }
    while ((event = FvRing_Pop(loop->ring, 0)) != NULL) {
        free_event(event);
    }
}

/**
 * FvLoop_Free - free a loop and its queued events
 * @loop: the loop, or NULL
 */
void
FvLoop_Free(fv_loop_t *loop)
{
    if (loop == NULL) {
        return;
    }
    FvLoop_Clear(loop);
    FvRing_Free(loop->ring);
    free(loop->heap);
    free(loop);
}

/**
 * FvLoop_Post - queue an event, blocking while the ring is full
 * @loop: the loop
 * @event: the event; the loop frees it after running it
 *
 * Must not be called on the scheduler thread: it drains the ring, so it would
 * deadlock.
 *
 * Return: false when the loop has stopped; the event is then freed.
 */
bool
FvLoop_Post(fv_loop_t *loop, fv_event_t *event)
{
    if (FvRing_Push(loop->ring, event)) {
        return true;
    }
    free_event(event);
    return false;
}

/**
 * FvLoop_TryPost - queue an event without blocking
 * @loop: the loop
 * @event: the event
 *
 * Return: false when the ring is full or the loop has stopped; the caller then
 * keeps the event.
 */
bool
FvLoop_TryPost(fv_loop_t *loop, fv_event_t *event)
{
    return FvRing_TryPush(loop->ring, event);
}

static void
place_timer(fv_loop_t *loop, int32_t index, fv_timer_t *timer)
{
    loop->heap[index] = timer;
    timer->heap_index = index;
}

static void
sift_up(fv_loop_t *loop, int32_t index)
{
    fv_timer_t *timer = loop->heap[index];

    while (index > 0) {
        int32_t parent = (index - 1) / 2;

        if (loop->heap[parent]->due_ms <= timer->due_ms) {
            break;
        }
        place_timer(loop, index, loop->heap[parent]);
        index = parent;
    }
    place_timer(loop, index, timer);
}

static void
sift_down(fv_loop_t *loop, int32_t index)
{
    fv_timer_t *timer = loop->heap[index];

    for (;;) {
        int32_t child = 2 * index + 1;

        if (child >= loop->timer_count) {
            break;
        }
        if (child + 1 < loop->timer_count &&
            loop->heap[child + 1]->due_ms < loop->heap[child]->due_ms) {
            child++;
        }
        if (loop->heap[child]->due_ms >= timer->due_ms) {
            break;
        }
        place_timer(loop, index, loop->heap[child]);
        index = child;
    }
    place_timer(loop, index, timer);
}

static void
grow_heap(fv_loop_t *loop)
{
    int32_t capacity = loop->timer_capacity ? loop->timer_capacity * 2 : 64;
    fv_timer_t **heap =
        realloc(loop->heap, (size_t)capacity * sizeof(fv_timer_t *));

    if (heap == NULL) {
        abort();
    }
    loop->heap = heap;
    loop->timer_capacity = capacity;
}

/**
 * FvLoop_CancelTimer - disarm a timer
 * @loop: the loop
 * @timer: the timer, armed or not
 */
void
FvLoop_CancelTimer(fv_loop_t *loop, fv_timer_t *timer)
{
    int32_t index = timer->heap_index;
    fv_timer_t *last;

    if (!timer->armed) {
        return;
    }
    timer->armed = false;
    last = loop->heap[--loop->timer_count];
    if (last == timer) {
        return;
    }
    place_timer(loop, index, last);
    sift_up(loop, index);
    sift_down(loop, last->heap_index);
}

/**
 * FvLoop_SetTimer - arm or rearm a timer
 * @loop: the loop
 * @timer: the timer, with its callback and owner set
 * @due_ms: expiry time, in milliseconds since boot
 */
void
FvLoop_SetTimer(fv_loop_t *loop, fv_timer_t *timer, int64_t due_ms)
{
    FvLoop_CancelTimer(loop, timer);
    if (loop->timer_count == loop->timer_capacity) {
        grow_heap(loop);
    }
    timer->due_ms = due_ms;
    timer->armed = true;
    loop->heap[loop->timer_count] = timer;
    timer->heap_index = loop->timer_count;
    loop->timer_count++;
    sift_up(loop, timer->heap_index);
}

static int64_t
fire_due_timers(fv_loop_t *loop)
{
    int64_t now_ms = FvClock_NowMs();

    while (loop->timer_count > 0 && loop->heap[0]->due_ms <= now_ms) {
        fv_timer_t *timer = loop->heap[0];

        FvLoop_CancelTimer(loop, timer);
        timer->fire(timer->owner);
    }
    if (loop->timer_count == 0) {
        return Fv_LOOP_MAX_WAIT_MS;
    }
    return loop->heap[0]->due_ms - now_ms;
}

/**
 * FvLoop_Run - run events and expired timers until the loop is stopped
 * @loop: the loop
 */
void
FvLoop_Run(fv_loop_t *loop)
{
    rcu_register_thread();
    while (!atomic_load(&loop->stopped)) {
        int64_t wait_ms = fire_due_timers(loop);
        fv_event_t *event;

        if (wait_ms > Fv_LOOP_MAX_WAIT_MS) {
            wait_ms = Fv_LOOP_MAX_WAIT_MS;
        }
        event = FvRing_Pop(loop->ring, wait_ms);
        if (event != NULL) {
            event->type->run(event);
            free_event(event);
        }
    }
    FvRing_Close(loop->ring);
    rcu_unregister_thread();
}

/**
 * FvLoop_Stop - make FvLoop_Run return; safe to call from any thread
 * @loop: the loop
 */
void
FvLoop_Stop(fv_loop_t *loop)
{
    atomic_store(&loop->stopped, true);
}
