/*
 * Splits a cell of entry hosts in two.
 */

#include "entry-cell.h"

#include "proxy.h"

#include <stdlib.h>

/* Directions of a connection that lose their packets. */
static int
lost_directions(const entry_split_t *split, bool client, bool server)
{
    bool arrives[2] = {split->from_first_arrives, split->from_second_arrives};

    if (client == server) {
        return 0;
    }
    return (arrives[client] ? 0 : (int)PROXY_HOLD_UP) |
           (arrives[server] ? 0 : (int)PROXY_HOLD_DOWN);
}

static bool
split_route(const entry_cell_t *cell, int host, entry_route_t kind,
            json_t *held)
{
    char address[64];
    char *body;
    json_t *fault;
    bool succeeded;

    FvEntryCell_Route(cell, host, kind, address, sizeof(address));
    fault = json_pack("{s:s, s:o}", "route", address, "held", held);
    body = json_dumps(fault, JSON_COMPACT);
    succeeded = body != NULL && FvEntryCell_ProxyFault(cell, body);
    free(body);
    json_decref(fault);
    return succeeded;
}

/* Each caller of a host's link may be on another side. */
static bool
split_links(const entry_cell_t *cell, const entry_split_t *split, int host)
{
    json_t *held = json_array();

    for (int i = 0; i < cell->options.hosts; i++) {
        json_array_append_new(held,
                              json_pack("[i, i]", i + 1,
                                        lost_directions(split, split->hosts[i],
                                                        split->hosts[host])));
    }
    return split_route(cell, host, ENTRY_ROUTE_LINK, held);
}

static bool
split_host(const entry_cell_t *cell, const entry_split_t *split, int host)
{
    int store = lost_directions(split, split->hosts[host], split->store);
    int advice = lost_directions(split, split->hosts[host], split->advice);

    return split_route(cell, host, ENTRY_ROUTE_STORE,
                       json_pack("[[i, i]]", 0, store)) &&
           split_route(cell, host, ENTRY_ROUTE_ADVICE,
                       json_pack("[[i, i]]", 0, advice)) &&
           split_links(cell, split, host);
}

static json_t *
second_side(const bool *flags, int count)
{
    json_t *list = json_array();

    for (int i = 0; i < count; i++) {
        if (flags[i]) {
            json_array_append_new(list, json_integer(i));
        }
    }
    return list;
}

static bool
split_platform(const entry_cell_t *cell, const entry_split_t *split)
{
    json_t *fault =
        json_pack("{s:{s:o, s:o, s:b, s:b, s:b}}", "split", "hosts",
                  second_side(split->hosts, cell->options.hosts), "workers",
                  second_side(split->workers, cell->options.workers), "store",
                  split->store, "lostFromFirst", !split->from_first_arrives,
                  "lostFromSecond", !split->from_second_arrives);
    char *body = json_dumps(fault, JSON_COMPACT);
    bool succeeded = body != NULL && FvEntryCell_PlatformFault(cell, body);

    free(body);
    json_decref(fault);
    return succeeded;
}

/**
 * FvEntryCell_Split - split a cell in two, or end its split
 * @cell: the cell, whose option splits is set
 * @split: what is on which side; NULL ends the split
 *
 * Connections between the sides stay open and silent, and new ones are as
 * silent. They go on after the split, unless an end has given them up.
 *
 * Return: false when a part was not taken.
 */
bool
FvEntryCell_Split(const entry_cell_t *cell, const entry_split_t *split)
{
    static const entry_split_t none;
    bool succeeded;

    if (split == NULL) {
        split = &none; /* all on one side */
    }
    succeeded = split_platform(cell, split);
    for (int i = 0; i < cell->options.hosts; i++) {
        succeeded = split_host(cell, split, i) && succeeded;
    }
    return succeeded;
}
