/*
 * Bounded multi-producer, single-consumer queue between threads.
 */

#include "fireflyvalve.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

struct fv_ring {
    pthread_mutex_t lock;
    pthread_cond_t not_empty;
    pthread_cond_t not_full;
    void **items;
    uint32_t capacity;
    uint32_t head;
    uint32_t count;
    bool closed;
};

/**
 * FvRing_New - allocate a ring
 * @capacity: largest number of items
 *
 * Return: the ring, or NULL when memory is exhausted.
 */
fv_ring_t *
FvRing_New(uint32_t capacity)
{
    fv_ring_t *ring = calloc(1, sizeof(*ring));
    pthread_condattr_t attr;

    if (ring == NULL) {
        return NULL;
    }
    ring->items = calloc(capacity, sizeof(*ring->items));
    if (ring->items == NULL) {
        free(ring);
        return NULL;
    }
    ring->capacity = capacity;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_mutex_init(&ring->lock, NULL);
    pthread_cond_init(&ring->not_empty, &attr);
    pthread_cond_init(&ring->not_full, &attr);
    pthread_condattr_destroy(&attr);
    return ring;
}

/**
 * FvRing_Free - free a ring, but not the items left in it
 * @ring: the ring, or NULL
 */
void
FvRing_Free(fv_ring_t *ring)
{
    if (ring == NULL) {
        return;
    }
    pthread_cond_destroy(&ring->not_empty);
    pthread_cond_destroy(&ring->not_full);
    pthread_mutex_destroy(&ring->lock);
    free(ring->items);
    free(ring);
}

static void
append_locked(fv_ring_t *ring, void *item)
{
    ring->items[(ring->head + ring->count) % ring->capacity] = item;
    ring->count++;
    pthread_cond_signal(&ring->not_empty);
}

/**
 * FvRing_TryPush - append an item without blocking
 * @ring: the ring
 * @item: the item
 *
 * Return: false when the ring is full or closed.
 */
bool
FvRing_TryPush(fv_ring_t *ring, void *item)
{
    bool accepted = false;

    pthread_mutex_lock(&ring->lock);
    if (!ring->closed && ring->count < ring->capacity) {
        append_locked(ring, item);
        accepted = true;
    }
    pthread_mutex_unlock(&ring->lock);
    return accepted;
}

/**
 * FvRing_Push - append an item, blocking while the ring is full
 * @ring: the ring
 * @item: the item
 *
 * Return: false when the ring is closed.
 */
bool
FvRing_Push(fv_ring_t *ring, void *item)
{
    bool accepted = false;

    pthread_mutex_lock(&ring->lock);
    while (!ring->closed && ring->count == ring->capacity) {
        pthread_cond_wait(&ring->not_full, &ring->lock);
    }
    if (!ring->closed) {
        append_locked(ring, item);
        accepted = true;
    }
    pthread_mutex_unlock(&ring->lock);
    return accepted;
}

/**
 * FvRing_Pop - remove the oldest item
 * @ring: the ring
 * @wait_ms: longest time to wait for an item; 0: don't block
 *
 * Items left in a closed ring are still returned.
 *
 * Return: the item, or NULL when the ring is still empty.
 */
void *
FvRing_Pop(fv_ring_t *ring, int64_t wait_ms)
{
    void *item = NULL;
    struct timespec until;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += wait_ms / Fv_MS_PER_S;
    until.tv_nsec += (wait_ms % Fv_MS_PER_S) * Fv_NS_PER_MS;
    if (until.tv_nsec >= Fv_NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= Fv_NS_PER_S;
    }
    pthread_mutex_lock(&ring->lock);
    while (ring->count == 0 && !ring->closed && wait_ms > 0) {
        if (pthread_cond_timedwait(&ring->not_empty, &ring->lock, &until)) {
            break;
        }
    }
    if (ring->count > 0) {
        item = ring->items[ring->head];
        ring->head = (ring->head + 1) % ring->capacity;
        ring->count--;
        pthread_cond_signal(&ring->not_full);
    }
    pthread_mutex_unlock(&ring->lock);
    return item;
}

/**
 * FvRing_Close - reject further items and wake all waiting threads
 * @ring: the ring
 */
void
FvRing_Close(fv_ring_t *ring)
{
    pthread_mutex_lock(&ring->lock);
    ring->closed = true;
    pthread_cond_broadcast(&ring->not_empty);
    pthread_cond_broadcast(&ring->not_full);
    pthread_mutex_unlock(&ring->lock);
}
