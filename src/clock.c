/*
 * Clocks. Leases and timeouts use CLOCK_BOOTTIME, which keeps counting while
 * the machine is suspended; wall time is used only in records that outlive
 * the process.
 */

#include "fireflyvalve.h"

#include <time.h>

static int64_t
read_clock_ns(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * Fv_NS_PER_S + now.tv_nsec;
}

/**
 * FvClock_NowNs - monotonic time including suspend
 *
 * Return: nanoseconds since boot.
 */
int64_t
FvClock_NowNs(void)
{
    return read_clock_ns(CLOCK_BOOTTIME);
}

/**
 * FvClock_NowMs - monotonic time including suspend, in milliseconds
 *
 * Return: milliseconds since boot.
 */
int64_t
FvClock_NowMs(void)
{
    return FvClock_NowNs() / Fv_NS_PER_MS;
}

/**
 * FvClock_WallMs - wall clock time
 *
 * Return: milliseconds since the Unix epoch.
 */
int64_t
FvClock_WallMs(void)
{
    return read_clock_ns(CLOCK_REALTIME) / Fv_NS_PER_MS;
}
