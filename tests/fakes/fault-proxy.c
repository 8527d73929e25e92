/*
 * TCP proxy that injects network faults for tests: delays, cuts, blackholes or
 * freezes the connections of its routes on request.
 */

#include "fake-server.h"
#include "proxy.h"

#include <stdlib.h>
#include <string.h>

#define PROXY_CONTROL_THREADS 4
#define PROXY_ROUTES_MAX 4096

/* Parses [[CALLER, DIRECTIONS], ...]. */
static bool
parse_held(const json_t *list, uint8_t *held)
{
    size_t index;
    json_t *row;

    memset(held, 0, PROXY_CALLERS_MAX);
    json_array_foreach(list, index, row)
    {
        json_int_t caller = json_integer_value(json_array_get(row, 0));

        if (caller < 0 || caller >= PROXY_CALLERS_MAX) {
            return false;
        }
        held[caller] = (uint8_t)json_integer_value(json_array_get(row, 1));
    }
    return json_is_array(list);
}

static bool
parse_fault(const json_t *body, uint8_t *held, proxy_fault_t *fault)
{
    const char *mode = json_string_value(json_object_get(body, "mode"));
    const json_t *delay = json_object_get(body, "delay_ms");
    const json_t *cut_after = json_object_get(body, "cut_after_bytes");
    const json_t *held_list = json_object_get(body, "held");

    *fault = (proxy_fault_t){
        .mode = PROXY_MODE_UNCHANGED, .delay_us = -1, .cut_after_bytes = -1};
    if (mode != NULL && !FvProxy_ParseMode(mode, &fault->mode)) {
        return false;
    }
    if (json_is_number(delay)) {
        fault->delay_us = (int64_t)(json_number_value(delay) * 1000);
    }
    if (json_is_integer(cut_after)) {
        fault->cut_after_bytes = json_integer_value(cut_after);
    }
    if (held_list != NULL) {
        if (!parse_held(held_list, held)) {
            return false;
        }
        fault->held = held;
    }
    return mode != NULL || delay != NULL || cut_after != NULL ||
           held_list != NULL;
}

static void
run_fault(proxy_t *proxy, fake_request_t *request)
{
    json_t *body = FvFake_BodyJson(request);
    const char *route = json_string_value(json_object_get(body, "route"));
    uint8_t held[PROXY_CALLERS_MAX];
    proxy_fault_t fault;

    if (route != NULL && parse_fault(body, held, &fault) &&
        FvProxy_ApplyFault(proxy, route, &fault)) {
        FvFake_ReplyJson(request, 200, json_object());
    }
    else {
        FvFake_ReplyError(request, 400, "unknown route or fault");
    }
    json_decref(body);
}

static void
handle_control(fake_request_t *request, void *context)
{
    if (FvFake_RequestIs(request, "POST", "/fault")) {
        run_fault(context, request);
    }
    else if (FvFake_RequestIs(request, "GET", "/counts")) {
        FvFake_ReplyJson(request, 200, FvProxy_Counts(context));
    }
    else {
        FvFake_ReplyError(request, 404, "unknown path");
    }
}

/* Parses LISTEN=TARGET[,DELAY_MS]. */
static bool
add_route(proxy_t *proxy, const char *text, bool tells_callers)
{
    char listen[64] = "";
    char target[64] = "";
    double delay_ms = 0;

    if (sscanf(text, "%63[^=]=%63[^,],%lf", listen, target, &delay_ms) < 2) {
        return false;
    }
    return FvProxy_AddRoute(proxy, listen, target, (int64_t)(delay_ms * 1000),
                            tells_callers);
}

static bool
add_routes(proxy_t *proxy, const struct arg_str *routes, bool tells_callers)
{
    for (int i = 0; i < routes->count; i++) {
        if (!add_route(proxy, routes->sval[i], tells_callers)) {
            fprintf(stderr, "fault-proxy: cannot open route %s\n",
                    routes->sval[i]);
            return false;
        }
    }
    return true;
}

static int
run_proxy(const struct arg_str *routes, const struct arg_str *links,
          const char *control)
{
    proxy_t *proxy = FvProxy_New();

    if (!add_routes(proxy, routes, false) || !add_routes(proxy, links, true)) {
        return 1;
    }
    if (!FvProxy_Start(proxy) ||
        FvFakeServer_Start(control, PROXY_CONTROL_THREADS, handle_control,
                           proxy) == NULL) {
        return 1;
    }
    FvFakeServer_RunUntilSignal();
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_str *routes =
        arg_strn(NULL, "route", "LISTEN=TARGET[,DELAY_MS]", 1,
                 PROXY_ROUTES_MAX, "both IP:PORT; delay in each direction");
    struct arg_str *links =
        arg_strn(NULL, "link", "LISTEN=TARGET[,DELAY_MS]", 0, PROXY_ROUTES_MAX,
                 "route between hosts, whose callers give their names first");
    struct arg_str *control =
        arg_str1(NULL, "control", "IP:PORT", "fault injection and counts");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, routes, links, control, end};
    int code = FvFake_ParseArguments(
        argc, argv, table, help,
        "TCP proxy that delays, cuts, swallows or freezes connections.");

    return code >= 0 ? code : run_proxy(routes, links, control->sval[0]);
}
