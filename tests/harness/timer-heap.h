/*
 * Binary heap of timers that are embedded in the objects they belong to.
 */

#ifndef TIMER_HEAP_H
#define TIMER_HEAP_H

#include <stddef.h>
#include <stdint.h>

typedef struct heap_timer {
    int64_t due_ns;
    size_t heap_index; /* from 1; 0: the timer is not set */
    void (*fire)(void *owner, int64_t now_ns);
    void *owner;
} heap_timer_t;

typedef struct timer_heap {
    heap_timer_t **timers;
    size_t count;
    size_t capacity;
} timer_heap_t;

void FvTimerHeap_Set(timer_heap_t *heap, heap_timer_t *timer, int64_t due_ns);
void FvTimerHeap_Cancel(timer_heap_t *heap, heap_timer_t *timer);
heap_timer_t *FvTimerHeap_First(const timer_heap_t *heap);

#endif
