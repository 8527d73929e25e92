/*
 * Clocks. Leases and timeouts use CLOCK_BOOTTIME, which includes the time a
 * machine is suspended. Wall time is used only in data that outlives the
 * process.
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
 * FvClock_NowNs - time since boot, including suspend
 *
 * Return: nanoseconds.
 */
int64_t
FvClock_NowNs(void)
{
    return read_clock_ns(CLOCK_BOOTTIME);
}

/**
 * FvClock_NowMs - time since boot, including suspend, in milliseconds
 *
 * Return: milliseconds.
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
