/*
 * Validity of one worker's lease, as computed by its holder.
 */

#include "fireflyvalve.h"

/**
 * FvLease_AllowsStart - whether a start may be sent now
 * @lease: the lease
 * @now_ns: boot time
 *
 * Return: true between the grace period after a new grant and the expiry.
 */
bool
FvLease_AllowsStart(const fv_lease_t *lease, int64_t now_ns)
{
    return lease->held && now_ns >= lease->starts_allowed_from_ns &&
           now_ns < lease->expires_ns;
}

/**
 * FvLease_Granted - record a grant or a renewal
 * @lease: the lease
 * @term: its term
 * @sent_ns: boot time read before the request was sent
 * @now_ns: boot time of the response
 * @ttl_ms: the granted time to live
 *
 * The expiry counts from @sent_ns because the worker may have started the
 * lease as early as that. A response to an older request never shortens the
 * lease, and one of a lower term is ignored.
 */
void
FvLease_Granted(fv_lease_t *lease, uint64_t term, int64_t sent_ns,
                int64_t now_ns, int32_t ttl_ms)
{
    int64_t expires_ns = sent_ns + ttl_ms * Fv_NS_PER_MS;

    if (term < lease->term) {
        return;
    }
    if (!lease->held || term != lease->term) {
        lease->starts_allowed_from_ns =
            now_ns + Fv_START_GRACE_MS * Fv_NS_PER_MS;
        lease->expires_ns = expires_ns;
    }
    else if (expires_ns > lease->expires_ns) {
        lease->expires_ns = expires_ns;
    }
    lease->held = true;
    lease->term = term;
}

/**
 * FvLease_Lost - record that the lease expired, was refused or was released
 * @lease: the lease
 * @now_ns: boot time
 */
void
FvLease_Lost(fv_lease_t *lease, int64_t now_ns)
{
    if (!lease->held) {
        return;
    }
    lease->held = false;
    lease->last_expiry_ns =
        lease->expires_ns < now_ns ? lease->expires_ns : now_ns;
}

/**
 * FvLease_Expired - whether a held lease has expired
 * @lease: the lease
 * @now_ns: boot time
 *
 * Return: true when the lease is past its expiry but still marked as held; the
 * caller then calls FvLease_Lost.
 */
bool
FvLease_Expired(const fv_lease_t *lease, int64_t now_ns)
{
    return lease->held && now_ns >= lease->expires_ns;
}
