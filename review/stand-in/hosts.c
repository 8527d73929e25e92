/*
 * The entry hosts, started as separate processes with the command of the
 * deploy file and settings as its template has them.
 */

#include "platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static host_t hosts[HOSTS_MAX];
static int host_count;

static void
sleep_ms(int64_t ms)
{
    nanosleep(&(struct timespec){ms / 1000, ms % 1000 * 1000000}, NULL);
}

static int
free_port(void)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int on = 1;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        fprintf(stderr, "no port is free\n");
        exit(2);
    }
    close(fd);
    return ntohs(address.sin_port);
}

static void
end_children(void)
{
    for (int i = 0; i < host_count; i++) {
        if (hosts[i].pid > 0) {
            kill(hosts[i].pid, SIGKILL);
            waitpid(hosts[i].pid, NULL, 0);
            hosts[i].pid = 0;
        }
    }
}

static void
end_on_signal(int signal)
{
    for (int i = 0; i < host_count; i++) {
        if (hosts[i].pid > 0) {
            kill(hosts[i].pid, SIGKILL);
        }
    }
    _exit(128 + signal);
}

static void
start(host_t *host)
{
    const char *directory = getenv("CASE_TMP");
    pid_t parent = getpid();
    char log[600];

    snprintf(log, sizeof(log), "%s/host-%d.log", directory, host->index);
    host->pid = fork();
    if (host->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(126);
        }
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        setenv("FIREFLYVALVE_NODE_FILE", host->settings, 1);
        execl("target/fireflyvalve", "target/fireflyvalve", "entry", NULL);
        _exit(127);
    }
}

host_t *
Hosts_Start(int count)
{
    const char *directory = getenv("CASE_TMP");

    host_count = count;
    atexit(end_children);
    signal(SIGTERM, end_on_signal);
    signal(SIGINT, end_on_signal);
    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < count; i++) {
        host_t *host = &hosts[i];
        FILE *file;

        host->index = i;
        snprintf(host->front, sizeof(host->front), "127.0.0.1:%d",
                 free_port());
        snprintf(host->ready, sizeof(host->ready), "127.0.0.1:%d",
                 free_port());
        snprintf(host->settings, sizeof(host->settings), "%s/host-%d.toml",
                 directory, i);
        file = fopen(host->settings, "w");
        if (file == NULL) {
            fprintf(stderr, "cannot write %s\n", host->settings);
            exit(2);
        }
        fprintf(file,
                "host = \"front-akl-a-%d\"\n"
                "data_center = \"akl-a\"\n"
                "region = \"akl\"\n"
                "address = \"127.0.0.1\"\n"
                "callers_address = \"%s\"\n"
                "ready_address = \"%s\"\n"
                "metrics_address = \"127.0.0.1:%d\"\n"
                "link_port = %d\n"
                "cpu_cores = 0.25\n"
                "store_address = \"127.0.0.1:%d\"\n"
                "store_lease_min_ms = 1000\n"
                "advice_address = \"\"\n"
                "descriptors_max = 4100\n"
                "lease_max_ms = %d\n"
                "stop_timeout_ms = %d\n"
                "gang_timeout_ms = %d\n"
                "drain_ms = %d000\n"
                "keep_ended_s = %d\n"
                "log_level = \"info\"\n",
                i + 1, host->front, host->ready, free_port(), free_port(),
                Platform_StorePort(i), MAX_HOLD_MS, STOP_TIMEOUT_MS,
                GANG_TIMEOUT_MS, GRACE_S, STATUS_S);
        fclose(file);
    }
    for (int i = 0; i < count; i++) {
        start(&hosts[i]);
    }
    return hosts;
}

void
Hosts_Signal(host_t *host, int signal)
{
    Record("host %d gets signal %d", host->index + 1, signal);
    if (host->pid > 0) {
        kill(host->pid, signal);
    }
}

bool
Hosts_HasEnded(host_t *host)
{
    int status;

    if (host->pid > 0 && waitpid(host->pid, &status, WNOHANG) == host->pid) {
        host->pid = 0;
        Record("host %d has ended, status %d", host->index + 1, status);
    }
    return host->pid == 0;
}

void
Hosts_Restart(host_t *host)
{
    start(host);
    Record("host %d starts again", host->index + 1);
}

bool
Hosts_WaitReady(int count, int64_t timeout_ms)
{
    int64_t until_ms = Now() + timeout_ms;

    for (int i = 0; i < count; i++) {
        client_t client;
        int status = 0;

        while (status != 200) {
            if (Now() > until_ms) {
                return false;
            }
            Client_Open(&client, hosts[i].ready);
            status = Client_Call(&client, "GET", "/ready", NULL, 500, NULL, 0);
            Client_Close(&client);
            if (status != 200) {
                sleep_ms(50);
            }
        }
    }
    return true;
}

void
Hosts_EndAll(void)
{
    end_children();
}
