/*
 * Addresses and files of a test cell.
 */

#include "cluster.h"
#include "temp-path.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

/* Below the kernel's range of ephemeral ports. */
#define CLUSTER_FIRST_PORT 20000
#define CLUSTER_LAST_PORT 29999

/**
 * FvCluster_FilePath - path of a file in the cell's directory
 * @cluster: the cell
 * @name: file name
 * @path: filled in
 * @size: size of @path
 */
void
FvCluster_FilePath(const cluster_t *cluster, const char *name, char *path,
                   size_t size)
{
    snprintf(path, size, "%s/%s", cluster->directory, name);
}

/* Each test process uses its own loopback address, so that test programs that
 * run in parallel cannot take each other's ports. */
static void
choose_ip(cluster_t *cluster)
{
    unsigned pid = (unsigned)getpid();

    snprintf(cluster->ip, sizeof(cluster->ip), "127.%u.%u.%u",
             1 + (pid >> 16) % 250, (pid >> 8) & 255, 1 + (pid & 255) % 254);
    cluster->next_port = CLUSTER_FIRST_PORT;
}

/**
 * FvCluster_PrepareDirectory - create the cell's directory
 * @cluster: the cell
 *
 * Return: false when it cannot be created.
 */
bool
FvCluster_PrepareDirectory(cluster_t *cluster)
{
    choose_ip(cluster);
    FvTempPath_Template(cluster->directory, sizeof(cluster->directory),
                        "test");
    return mkdtemp(cluster->directory) != NULL;
}

/**
 * FvCluster_RemoveDirectory - delete the cell's files
 * @cluster: the cell; its files are kept when KEEP_TEST_FILES is set
 */
void
FvCluster_RemoveDirectory(cluster_t *cluster)
{
    DIR *directory = opendir(cluster->directory);
    struct dirent *entry;
    char path[768];

    if (directory == NULL || getenv("KEEP_TEST_FILES") != NULL) {
        goto out;
    }
    while ((entry = readdir(directory)) != NULL) {
        if (entry->d_name[0] != '.') {
            FvCluster_FilePath(cluster, entry->d_name, path, sizeof(path));
            unlink(path);
        }
    }
    rmdir(cluster->directory);
out:
    if (directory != NULL) {
        closedir(directory);
    }
}

static bool
is_free(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    bool free_port;

    inet_pton(AF_INET, ip, &address.sin_addr);
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    free_port = bind(descriptor, (const struct sockaddr *)&address,
                     sizeof(address)) == 0;
    close(descriptor);
    return free_port;
}

/**
 * FvCluster_AllocateAddress - choose an unused address for a process
 * @cluster: the cell
 * @address: set to IP:PORT
 *
 * Return: false when no port is free.
 */
bool
FvCluster_AllocateAddress(cluster_t *cluster, char address[Fv_ADDRESS_SIZE])
{
    while (cluster->next_port <= CLUSTER_LAST_PORT) {
        int port = cluster->next_port++;

        if (is_free(cluster->ip, port)) {
            snprintf(address, Fv_ADDRESS_SIZE, "%s:%d", cluster->ip, port);
            return true;
        }
    }
    return false;
}

/* The address of a host as each other host reaches it, by name. */
static json_t *
host_views(const cluster_t *cluster, int host)
{
    json_t *views = json_object();

    for (int from = 0; from < cluster->host_count; from++) {
        if (from != host) {
            json_object_set_new(
                views, cluster->hosts[from].name,
                json_pack(
                    "{s:s}", "address",
                    FvCluster_RouteAddress(cluster, ROUTE_PEER, from, host)));
        }
    }
    return views;
}

static json_t *
worker_url(const cluster_t *cluster, const char *address, int rack, int number)
{
    return json_sprintf("http://%s/%s%d", address, cluster->racks[rack].prefix,
                        number);
}

static json_t *
worker_views(const cluster_t *cluster, int rack, int number)
{
    json_t *views = json_object();

    for (int from = 0; from < cluster->host_count; from++) {
        const char *address =
            FvCluster_RouteAddress(cluster, ROUTE_RACK, from, rack);

        json_object_set_new(
            views, cluster->hosts[from].name,
            json_pack("{s:o}", "url",
                      worker_url(cluster, address, rack, number)));
    }
    return views;
}

static json_t *
host_entry(const cluster_t *cluster, int host)
{
    const cluster_host_t *entry = &cluster->hosts[host];

    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:o}", "name",
                     entry->name, "role", "entry", "region",
                     entry->site->region, "data_center",
                     entry->site->data_center, "state", "live", "address",
                     entry->link_address, "views", host_views(cluster, host));
}

static json_t *
worker_entry(const cluster_t *cluster, int rack, int number)
{
    const cluster_rack_t *entry = &cluster->racks[rack];

    return json_pack("{s:o, s:s, s:s, s:s, s:s, s:s, s:o, s:o}", "name",
                     json_sprintf("%s%d", entry->prefix, number), "role",
                     "worker", "region", entry->site->region, "data_center",
                     entry->site->data_center, "rack", entry->name, "state",
                     "live", "url",
                     worker_url(cluster, entry->address, rack, number),
                     "views", worker_views(cluster, rack, number));
}

/**
 * FvCluster_HostList - build the platform's host list
 * @cluster: the cell
 *
 * Return: a new document with all hosts and workers. In a proxied cell each
 * host sees the addresses of its own routes.
 */
json_t *
FvCluster_HostList(const cluster_t *cluster)
{
    json_t *hosts = json_array();

    for (int host = 0; host < cluster->host_count; host++) {
        json_array_append_new(hosts, host_entry(cluster, host));
    }
    for (int rack = 0; rack < cluster->rack_count; rack++) {
        for (int i = 1; i <= cluster->racks[rack].site->workers_per_rack;
             i++) {
            json_array_append_new(hosts, worker_entry(cluster, rack, i));
        }
    }
    return json_pack("{s:o}", "hosts", hosts);
}

static bool
write_host_list(const cluster_t *cluster)
{
    json_t *document = FvCluster_HostList(cluster);
    char path[512];
    bool written;

    FvCluster_FilePath(cluster, "hosts.json", path, sizeof(path));
    written = json_dump_file(document, path, JSON_INDENT(1)) == 0;
    json_decref(document);
    return written;
}

/* fireflyvalve rejects secrets that others can read. */
static FILE *
create_secret(const cluster_t *cluster, const char *name)
{
    char path[512];
    FILE *file;

    FvCluster_FilePath(cluster, name, path, sizeof(path));
    file = fopen(path, "w");
    if (file != NULL) {
        fchmod(fileno(file), S_IRUSR | S_IWUSR);
    }
    return file;
}

static bool
write_cluster_key(const cluster_t *cluster)
{
    FILE *file = create_secret(cluster, "cluster.key");
    uint8_t key[32];

    if (file == NULL) {
        return false;
    }
    randombytes_buf(key, sizeof(key));
    for (size_t i = 0; i < sizeof(key); i++) {
        fprintf(file, "%02x", key[i]);
    }
    fputc('\n', file);
    return fclose(file) == 0;
}

static bool
write_tokens(const cluster_t *cluster)
{
    FILE *file = create_secret(cluster, "tokens.toml");
    char token[128];

    if (file == NULL) {
        return false;
    }
    fprintf(file, "[tokens]\n");
    for (size_t i = 0; i < cluster->topology.member_count; i++) {
        const char *member = cluster->topology.members[i];

        FvApi_MemberToken(member, token, sizeof(token));
        fprintf(file, "\"%s\" = \"%s\"\n", member, token);
    }
    return fclose(file) == 0;
}

static void
print_int(FILE *file, const char *name, int value)
{
    if (value > 0) {
        fprintf(file, "%s = %d\n", name, value);
    }
}

static void
print_limit_settings(FILE *file, const topology_t *topology)
{
    fprintf(file, "\n[lease]\n");
    print_int(file, "ttl_ms", topology->lease_ttl_ms);
    print_int(file, "renew_ms", topology->lease_renew_ms);
    fprintf(file, "\n[limits]\n");
    print_int(file, "http_threads", topology->http_threads);
    print_int(file, "queue_limit", topology->queue_limit);
    print_int(file, "drain_timeout_ms", topology->drain_timeout_ms);
    fprintf(file, "\n[log]\nlevel = \"%s\"\n",
            topology->log_level != NULL ? topology->log_level : "info");
}

static void
print_settings(FILE *file, const cluster_t *cluster, int index)
{
    const cluster_host_t *host = &cluster->hosts[index];

    fprintf(file, "cluster = \"%s\"\n\n", cluster->topology.cluster);
    fprintf(file, "[host]\nname = \"%s\"\nregion = \"%s\"\n", host->name,
            host->site->region);
    fprintf(file, "data_center = \"%s\"\n\n", host->site->data_center);
    fprintf(file, "[listen]\nhttp = \"%s\"\nlink = \"%s\"\n\n",
            host->http_address, host->link_address);
    fprintf(file, "[store]\nurl = \"http://%s\"\nprefix = \"/fireflyvalve\"\n",
            FvCluster_RouteAddress(cluster, ROUTE_STORE, index, 0));
    print_int(file, "timeout_ms", cluster->topology.store_timeout_ms);
    fprintf(file,
            "\n[platform]\nhost_list_url = \"http://%s/hosts?viewer=%s\"\n\n",
            FvCluster_RouteAddress(cluster, ROUTE_LIST, index, 0), host->name);
    fprintf(file, "[secrets]\ncluster_key_file = \"%s/cluster.key\"\n",
            cluster->directory);
    fprintf(file, "tokens_file = \"%s/tokens.toml\"\n", cluster->directory);
    print_limit_settings(file, &cluster->topology);
}

static bool
write_settings(cluster_t *cluster, int index)
{
    cluster_host_t *host = &cluster->hosts[index];
    char name[Fv_NAME_SIZE + 8];
    FILE *file;

    snprintf(name, sizeof(name), "%s.toml", host->name);
    FvCluster_FilePath(cluster, name, host->config_path,
                       sizeof(host->config_path));
    file = fopen(host->config_path, "w");
    if (file == NULL) {
        return false;
    }
    print_settings(file, cluster, index);
    return fclose(file) == 0;
}

/**
 * FvCluster_WriteFiles - write the host list, secrets and settings
 * @cluster: the cell, with all addresses allocated
 *
 * Return: false when a file cannot be written.
 */
bool
FvCluster_WriteFiles(cluster_t *cluster)
{
    bool written = write_host_list(cluster) && write_cluster_key(cluster) &&
                   write_tokens(cluster);

    for (int i = 0; written && i < cluster->host_count; i++) {
        written = write_settings(cluster, i);
    }
    return written;
}
