/*
 * Weighted dominant-resource fairness. The dominant share of a member is the
 * largest fraction of any one resource of the cell that it uses, here and on
 * the other hosts, divided by its weight.
 */

#include "fireflyvalve.h"

#include <stdlib.h>

typedef struct share {
    char member[Fv_NAME_SIZE]; /* key */
    bool configured;
    uint32_t weight;
    fv_resources_t quota;
    fv_resources_t local;
    fv_resources_t remote; /* sum over all other hosts */
} share_t;

typedef struct remote_usage {
    char member[Fv_NAME_SIZE]; /* key */
    fv_resources_t used;
} remote_usage_t;

typedef struct remote_host {
    char host[Fv_NAME_SIZE]; /* key */
    fv_table_t usage;
} remote_host_t;

struct fv_shares {
    fv_table_t members;
    fv_table_t hosts;
    fv_resources_t capacity;
};

/**
 * FvShares_New - allocate shares without members and capacity
 *
 * Return: the shares, or NULL when memory is exhausted.
 */
fv_shares_t *
FvShares_New(void)
{
    return calloc(1, sizeof(fv_shares_t));
}

/**
 * FvShares_Free - release shares
 * @shares: the shares, or NULL
 */
void
FvShares_Free(fv_shares_t *shares)
{
    if (shares == NULL) {
        return;
    }
    for (uint32_t i = 0; i < shares->hosts.count; i++) {
        remote_host_t *host = shares->hosts.entries[i];

        FvTable_Clear(&host->usage);
    }
    FvTable_Clear(&shares->hosts);
    FvTable_Clear(&shares->members);
    free(shares);
}

static share_t *
find_or_add_share(fv_shares_t *shares, const char *member)
{
    return FvTable_FindOrAdd(&shares->members, member, Fv_NAME_SIZE,
                             sizeof(share_t));
}

/**
 * FvShares_Configure - apply the weights and quotas of a configuration
 * @shares: the shares
 * @config: the active configuration; the usage of members that it no longer
 *          contains is counted until their tasks end
 */
void
FvShares_Configure(fv_shares_t *shares, const fv_config_t *config)
{
    for (uint32_t i = 0; i < shares->members.count; i++) {
        share_t *share = shares->members.entries[i];

        share->configured = false;
    }
    for (uint32_t i = 0; i < config->contract_count; i++) {
        const fv_contract_t *contract = &config->contracts[i];
        share_t *share = find_or_add_share(shares, contract->member);

        if (share != NULL) {
            share->configured = true;
            share->weight = contract->weight;
            share->quota = contract->quota;
        }
    }
}

/**
 * FvShares_SetCapacity - set the cell's total resources
 * @shares: the shares
 * @total: the resources of all workers of the cell
 */
void
FvShares_SetCapacity(fv_shares_t *shares, const fv_resources_t *total)
{
    shares->capacity = *total;
}

/**
 * FvShares_Add - count a task on a worker whose lease this host holds
 * @shares: the shares
 * @member: its owner
 * @size: its size
 */
void
FvShares_Add(fv_shares_t *shares, const char *member,
             const fv_resources_t *size)
{
    share_t *share = find_or_add_share(shares, member);

    if (share != NULL) {
        FvResources_Add(&share->local, size);
    }
}

/**
 * FvShares_Subtract - stop counting a task
 * @shares: the shares
 * @member: its owner
 * @size: the size it was counted with
 */
void
FvShares_Subtract(fv_shares_t *shares, const char *member,
                  const fv_resources_t *size)
{
    share_t *share = FvTable_Find(&shares->members, member);

    if (share != NULL) {
        FvResources_Subtract(&share->local, size);
    }
}

/**
 * FvShares_SetRemote - set a member's usage as reported by another host
 * @shares: the shares
 * @host: the other host
 * @member: the member
 * @used: its usage as reported in that host's digest
 */
void
FvShares_SetRemote(fv_shares_t *shares, const char *host, const char *member,
                   const fv_resources_t *used)
{
    share_t *share = find_or_add_share(shares, member);
    remote_host_t *remote = FvTable_FindOrAdd(
        &shares->hosts, host, Fv_NAME_SIZE, sizeof(remote_host_t));
    remote_usage_t *usage = NULL;

    if (remote != NULL) {
        usage = FvTable_FindOrAdd(&remote->usage, member, Fv_NAME_SIZE,
                                  sizeof(remote_usage_t));
    }
    if (share == NULL || usage == NULL) {
        return;
    }
    FvResources_Subtract(&share->remote, &usage->used);
    usage->used = *used;
    FvResources_Add(&share->remote, used);
}

/**
 * FvShares_RemoveHost - remove the usage reported by an unavailable host
 * @shares: the shares
 * @host: the host
 */
void
FvShares_RemoveHost(fv_shares_t *shares, const char *host)
{
    remote_host_t *remote = FvTable_Find(&shares->hosts, host);

    for (uint32_t i = 0; remote != NULL && i < remote->usage.count; i++) {
        remote_usage_t *usage = remote->usage.entries[i];
        share_t *share = FvTable_Find(&shares->members, usage->member);

        if (share != NULL) {
            FvResources_Subtract(&share->remote, &usage->used);
        }
    }
    if (remote != NULL) {
        FvTable_Clear(&remote->usage);
    }
}

/**
 * FvShares_LargerFraction - the dominant share so far, with one more resource
 * @current: the largest fraction of the resources before
 * @used: what is used of this resource
 * @total: what the cell has of it
 *
 * Return: the larger of both fractions.
 */
double
FvShares_LargerFraction(double current, int64_t used, int64_t total)
{
    double fraction;

    if (used <= 0 || total <= 0) {
        return current;
    }
    fraction = (double)used / (double)total;
    return fraction > current ? fraction : current;
}

static double
dominant_share(const fv_shares_t *shares, const share_t *share)
{
    const fv_resources_t *total = &shares->capacity;
    fv_resources_t used = share->local;
    double dominant = 0;

    FvResources_Add(&used, &share->remote);
    dominant =
        FvShares_LargerFraction(dominant, used.cpu_millis, total->cpu_millis);
    dominant = FvShares_LargerFraction(dominant, used.memory_bytes,
                                       total->memory_bytes);
    dominant = FvShares_LargerFraction(dominant, used.accelerators,
                                       total->accelerators);
    dominant = FvShares_LargerFraction(dominant, used.slots, total->slots);
    return dominant / (share->weight == 0 ? 1 : share->weight);
}

/**
 * FvShares_DominantShare - a member's weighted dominant share
 * @shares: the shares
 * @member: the member
 *
 * Return: the share; 0 when the member uses nothing.
 */
double
FvShares_DominantShare(const fv_shares_t *shares, const char *member)
{
    const share_t *share = FvTable_Find(&shares->members, member);

    return share == NULL ? 0 : dominant_share(shares, share);
}

static bool
fits_quota(int64_t used, int64_t additional, int64_t quota)
{
    return quota == 0 || additional == 0 || used + additional <= quota;
}

/**
 * FvShares_WithinQuota - whether more usage stays within a member's quota
 * @shares: the shares
 * @member: the member
 * @size: additional resources
 *
 * A quota of 0 means that this resource is not limited.
 *
 * Return: false when a quota would be exceeded or the member has no contract.
 */
bool
FvShares_WithinQuota(const fv_shares_t *shares, const char *member,
                     const fv_resources_t *size)
{
    const share_t *share = FvTable_Find(&shares->members, member);
    const fv_resources_t *quota;
    fv_resources_t used;

    if (share == NULL || !share->configured) {
        return false;
    }
    quota = &share->quota;
    used = share->local;
    FvResources_Add(&used, &share->remote);
    return fits_quota(used.cpu_millis, size->cpu_millis, quota->cpu_millis) &&
           fits_quota(used.memory_bytes, size->memory_bytes,
                      quota->memory_bytes) &&
           fits_quota(used.accelerators, size->accelerators,
                      quota->accelerators) &&
           fits_quota(used.slots, size->slots, quota->slots);
}

/**
 * FvShares_LocalUsage - a member's usage on workers whose lease this host
 * holds
 * @shares: the shares
 * @member: the member
 * @used: set to its usage
 */
void
FvShares_LocalUsage(const fv_shares_t *shares, const char *member,
                    fv_resources_t *used)
{
    const share_t *share = FvTable_Find(&shares->members, member);

    *used = (fv_resources_t){0};
    if (share != NULL) {
        *used = share->local;
    }
}

/**
 * FvShares_ToJson - all members' shares
 * @shares: the shares
 *
 * Return: an object keyed by member, or NULL when memory is exhausted.
 */
json_t *
FvShares_ToJson(const fv_shares_t *shares)
{
    json_t *object = json_object();

    for (uint32_t i = 0; i < shares->members.count; i++) {
        const share_t *share = shares->members.entries[i];
        json_t *entry = json_pack(
            "{s:f, s:i, s:o, s:o, s:o}", "dominant_share",
            dominant_share(shares, share), "weight", (int)share->weight,
            "quota", FvResources_ToJson(&share->quota), "local",
            FvResources_ToJson(&share->local), "remote",
            FvResources_ToJson(&share->remote));

        json_object_set_new(object, share->member, entry);
    }
    return object;
}
