/*
 * Binary heap of timers.
 */

#include "timer-heap.h"

#include <stdlib.h>

static void
set_heap_index(timer_heap_t *heap, heap_timer_t *timer, size_t heap_index)
{
    heap->timers[heap_index - 1] = timer;
    timer->heap_index = heap_index;
}

static void
sift_up(timer_heap_t *heap, heap_timer_t *timer)
{
    size_t heap_index = timer->heap_index;

    while (heap_index > 1 &&
           heap->timers[heap_index / 2 - 1]->due_ns > timer->due_ns) {
        set_heap_index(heap, heap->timers[heap_index / 2 - 1], heap_index);
        heap_index /= 2;
    }
    set_heap_index(heap, timer, heap_index);
}

static void
sift_down(timer_heap_t *heap, heap_timer_t *timer)
{
    size_t heap_index = timer->heap_index;

    for (;;) {
        size_t child = heap_index * 2;

        if (child > heap->count) {
            break;
        }
        if (child < heap->count &&
            heap->timers[child]->due_ns < heap->timers[child - 1]->due_ns) {
            child++;
        }
        if (heap->timers[child - 1]->due_ns >= timer->due_ns) {
            break;
        }
        set_heap_index(heap, heap->timers[child - 1], heap_index);
        heap_index = child;
    }
    set_heap_index(heap, timer, heap_index);
}

/**
 * FvTimerHeap_Set - set or move a timer
 * @heap: the heap
 * @timer: the timer
 * @due_ns: when it is due
 */
void
FvTimerHeap_Set(timer_heap_t *heap, heap_timer_t *timer, int64_t due_ns)
{
    FvTimerHeap_Cancel(heap, timer);
    if (heap->count == heap->capacity) {
        heap->capacity = heap->capacity * 2 + 64;
        heap->timers =
            realloc(heap->timers, heap->capacity * sizeof(heap_timer_t *));
        if (heap->timers == NULL) {
            abort();
        }
    }
    timer->due_ns = due_ns;
    heap->count++;
    set_heap_index(heap, timer, heap->count);
    sift_up(heap, timer);
}

/**
 * FvTimerHeap_Cancel - remove a timer; nothing happens if it is not set
 * @heap: the heap
 * @timer: the timer
 */
void
FvTimerHeap_Cancel(timer_heap_t *heap, heap_timer_t *timer)
{
    heap_timer_t *last;
    size_t heap_index = timer->heap_index;

    if (heap_index == 0) {
        return;
    }
    timer->heap_index = 0;
    last = heap->timers[heap->count - 1];
    heap->count--;
    if (last != timer) {
        set_heap_index(heap, last, heap_index);
        sift_up(heap, last);
        sift_down(heap, last);
    }
}

/**
 * FvTimerHeap_First - look up the timer that is due first
 * @heap: the heap
 *
 * Return: the timer, still set; or NULL.
 */
heap_timer_t *
FvTimerHeap_First(const timer_heap_t *heap)
{
    return heap->count > 0 ? heap->timers[0] : NULL;
}
