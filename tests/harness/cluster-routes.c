/*
 * Routes of a test cell through fault-proxy.
 */

#include "cluster.h"

#include <stdlib.h>
#include <string.h>

static double
delay_between(const cluster_t *cluster, const topology_site_t *a,
              const topology_site_t *b)
{
    if (strcmp(a->region, b->region) != 0) {
        return cluster->topology.region_delay_ms;
    }
    if (strcmp(a->data_center, b->data_center) != 0) {
        return cluster->topology.data_center_delay_ms;
    }
    return 0;
}

static bool
add_route(cluster_t *cluster, const cluster_route_t *planned)
{
    cluster_route_t *route = &cluster->routes[cluster->route_count++];

    *route = *planned;
    if (!cluster->topology.proxied) {
        snprintf(route->listen, sizeof(route->listen), "%s", route->target);
        return true;
    }
    return FvCluster_AllocateAddress(cluster, route->listen);
}

static bool
add_platform_route(cluster_t *cluster, route_kind_t kind, int from)
{
    cluster_route_t route = {.kind = kind, .from = from};

    snprintf(route.target, sizeof(route.target), "%s",
             cluster->platform_address);
    return add_route(cluster, &route);
}

static bool
add_peer_route(cluster_t *cluster, int from, int to)
{
    const cluster_host_t *target = &cluster->hosts[to];
    cluster_route_t route = {
        .kind = ROUTE_PEER,
        .from = from,
        .to = to,
        .delay_ms =
            delay_between(cluster, cluster->hosts[from].site, target->site)};

    snprintf(route.target, sizeof(route.target), "%s", target->link_address);
    return add_route(cluster, &route);
}

static bool
add_rack_route(cluster_t *cluster, int from, int to)
{
    const cluster_rack_t *target = &cluster->racks[to];
    cluster_route_t route = {
        .kind = ROUTE_RACK,
        .from = from,
        .to = to,
        .delay_ms =
            delay_between(cluster, cluster->hosts[from].site, target->site)};

    snprintf(route.target, sizeof(route.target), "%s", target->address);
    return add_route(cluster, &route);
}

static bool
add_caller_route(cluster_t *cluster, int to)
{
    cluster_route_t route = {.kind = ROUTE_CALLER,
                             .to = to,
                             .delay_ms = cluster->topology.caller_delay_ms};

    snprintf(route.target, sizeof(route.target), "%s",
             cluster->hosts[to].http_address);
    return add_route(cluster, &route);
}

static bool
plan_host(cluster_t *cluster, int from)
{
    bool planned = add_platform_route(cluster, ROUTE_STORE, from) &&
                   add_platform_route(cluster, ROUTE_LIST, from) &&
                   add_caller_route(cluster, from);

    for (int to = 0; planned && to < cluster->host_count; to++) {
        planned = to == from || add_peer_route(cluster, from, to);
    }
    for (int to = 0; planned && to < cluster->rack_count; to++) {
        planned = add_rack_route(cluster, from, to);
    }
    return planned;
}

/**
 * FvCluster_PlanRoutes - create the route of every connection
 * @cluster: the cell, with the addresses of its processes allocated
 *
 * Return: false when no port is free.
 */
bool
FvCluster_PlanRoutes(cluster_t *cluster)
{
    int per_host = 3 + cluster->host_count + cluster->rack_count;
    int limit = cluster->host_count * per_host + 1;
    bool planned = true;

    cluster->routes = calloc((size_t)limit, sizeof(*cluster->routes));
    if (cluster->routes == NULL) {
        return false;
    }
    for (int from = 0; planned && from < cluster->host_count; from++) {
        planned = plan_host(cluster, from);
    }
    return planned;
}

static bool
route_matches(const cluster_route_t *route, route_kind_t kind, int from,
              int to)
{
    bool from_matters = kind != ROUTE_CALLER;
    bool to_matters = kind != ROUTE_STORE && kind != ROUTE_LIST;

    return route->kind == kind &&
           (!from_matters || from == CLUSTER_ALL || route->from == from) &&
           (!to_matters || to == CLUSTER_ALL || route->to == to);
}

/**
 * FvCluster_RouteAddress - address that a client connects to
 * @cluster: the cell
 * @kind: kind of the connection
 * @from: index of the host that connects; unused for callers
 * @to: index of the host or rack; unused for the store and the host list
 *
 * Return: IP:PORT of the proxy's route, or of the target in a cell without a
 * proxy.
 */
const char *
FvCluster_RouteAddress(const cluster_t *cluster, route_kind_t kind, int from,
                       int to)
{
    for (int i = 0; i < cluster->route_count; i++) {
        if (route_matches(&cluster->routes[i], kind, from, to)) {
            return cluster->routes[i].listen;
        }
    }
    return "";
}

static bool
send_fault(cluster_t *cluster, const cluster_route_t *route,
           const json_t *fault)
{
    json_t *body = json_deep_copy(fault);
    char url[Fv_URL_SIZE];

    if (!cluster->topology.proxied) {
        json_decref(body);
        return false;
    }
    json_object_set_new(body, "route", json_string(route->listen));
    snprintf(url, sizeof(url), "http://%s/fault", cluster->proxy_control);
    return FvHttp_PostJson(url, body, NULL) == 200;
}

/* Applies a fault to all matching routes; takes the reference to it. */
static bool
change_routes(cluster_t *cluster, route_kind_t kind, int from, int to,
              json_t *fault)
{
    bool applied = true;

    for (int i = 0; i < cluster->route_count; i++) {
        if (route_matches(&cluster->routes[i], kind, from, to)) {
            applied =
                send_fault(cluster, &cluster->routes[i], fault) && applied;
        }
    }
    json_decref(fault);
    return applied;
}

/**
 * FvCluster_SetRoute - cut, blackhole, freeze or restore connections
 * @cluster: a proxied cell
 * @kind: kind of the connections
 * @from: index of the host that connects, or CLUSTER_ALL
 * @to: index of the target, or CLUSTER_ALL
 * @mode: cut, blackhole, freeze or restore
 *
 * Return: false when the proxy did not confirm the change.
 */
bool
FvCluster_SetRoute(cluster_t *cluster, route_kind_t kind, int from, int to,
                   const char *mode)
{
    return change_routes(cluster, kind, from, to,
                         json_pack("{s:s}", "mode", mode));
}

/**
 * FvCluster_DelayRoute - change the delay of connections
 * @cluster: a proxied cell
 * @kind: kind of the connections
 * @from: index of the host that connects, or CLUSTER_ALL
 * @to: index of the target, or CLUSTER_ALL
 * @delay_ms: delay in each direction; the restore mode sets the topology's
 *            delay again
 *
 * Return: false when the proxy did not confirm the change.
 */
bool
FvCluster_DelayRoute(cluster_t *cluster, route_kind_t kind, int from, int to,
                     double delay_ms)
{
    return change_routes(cluster, kind, from, to,
                         json_pack("{s:f}", "delay_ms", delay_ms));
}

/**
 * FvCluster_CutResponse - close each connection within its next response
 * @cluster: a proxied cell
 * @kind: kind of the connections
 * @from: index of the host that connects, or CLUSTER_ALL
 * @to: index of the target, or CLUSTER_ALL
 * @after_bytes: bytes of the response that are still delivered
 *
 * Return: false when the proxy did not confirm the change.
 */
bool
FvCluster_CutResponse(cluster_t *cluster, route_kind_t kind, int from, int to,
                      int64_t after_bytes)
{
    return change_routes(
        cluster, kind, from, to,
        json_pack("{s:I}", "cut_after_bytes", (json_int_t)after_bytes));
}

/**
 * FvCluster_IsolateHost - set the mode of all connections of a host
 * @cluster: a proxied cell
 * @host: index of the host
 * @mode: cut, blackhole, freeze or restore
 *
 * Return: false when the proxy did not confirm the change.
 */
bool
FvCluster_IsolateHost(cluster_t *cluster, int host, const char *mode)
{
    return FvCluster_SetRoute(cluster, ROUTE_PEER, host, CLUSTER_ALL, mode) &&
           FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, host, mode) &&
           FvCluster_SetRoute(cluster, ROUTE_RACK, host, CLUSTER_ALL, mode) &&
           FvCluster_SetRoute(cluster, ROUTE_STORE, host, 0, mode) &&
           FvCluster_SetRoute(cluster, ROUTE_LIST, host, 0, mode) &&
           FvCluster_SetRoute(cluster, ROUTE_CALLER, 0, host, mode);
}

static const char *
target_region(const cluster_t *cluster, const cluster_route_t *route)
{
    if (route->kind == ROUTE_PEER) {
        return cluster->hosts[route->to].site->region;
    }
    return cluster->racks[route->to].site->region;
}

static bool
connects_regions(const cluster_t *cluster, const cluster_route_t *route,
                 const char *a, const char *b)
{
    const char *from;
    const char *to;

    if (route->kind != ROUTE_PEER && route->kind != ROUTE_RACK) {
        return false;
    }
    from = cluster->hosts[route->from].site->region;
    to = target_region(cluster, route);
    return (strcmp(from, a) == 0 && strcmp(to, b) == 0) ||
           (strcmp(from, b) == 0 && strcmp(to, a) == 0);
}

/**
 * FvCluster_SplitRegions - set the mode of all connections between two regions
 * @cluster: a proxied cell
 * @a: one region
 * @b: the other region
 * @mode: cut, blackhole, freeze or restore
 *
 * The store and the host list belong to no region and stay reachable.
 *
 * Return: false when the proxy did not confirm the change.
 */
bool
FvCluster_SplitRegions(cluster_t *cluster, const char *a, const char *b,
                       const char *mode)
{
    json_t *fault = json_pack("{s:s}", "mode", mode);
    bool applied = true;

    for (int i = 0; i < cluster->route_count; i++) {
        if (connects_regions(cluster, &cluster->routes[i], a, b)) {
            applied =
                send_fault(cluster, &cluster->routes[i], fault) && applied;
        }
    }
    json_decref(fault);
    return applied;
}
