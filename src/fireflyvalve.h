/*
 * Shared declarations. Each object has one .c file; its functions carry the
 * object's name as a prefix (FvRing_Push lives in ring.c).
 */

#ifndef FIREFLYVALVE_H
#define FIREFLYVALVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define Fv_VERSION "0.1.0"

#define Fv_NS_PER_MS INT64_C(1000000)
#define Fv_NS_PER_S INT64_C(1000000000)
#define Fv_MS_PER_S INT64_C(1000)

/* clock.c */
int64_t FvClock_NowNs(void);
int64_t FvClock_NowMs(void);
int64_t FvClock_WallMs(void);

/* ring.c */
typedef struct fv_ring fv_ring_t;

fv_ring_t *FvRing_New(uint32_t capacity);
void FvRing_Free(fv_ring_t *ring);
bool FvRing_TryPush(fv_ring_t *ring, void *item);
bool FvRing_Push(fv_ring_t *ring, void *item);
void *FvRing_Pop(fv_ring_t *ring, int64_t wait_ms);
void FvRing_Close(fv_ring_t *ring);

#endif
