/*
 * Starts the stand-in for the platform and the entry hosts, and plays a case:
 * driver CASE RECORD DIRECTORY. Exits with 0 if the rule held, 1 if it was
 * broken and 2 if the case could not run.
 */

#include "driver.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define READY_MS 30000
#define PLAY_MAX_S 118
#define SITE_MEMORY_MB 260  /* kotuku-cs */
#define SMALL_MEMORY_MB 120 /* the smallest machines of lakeshore-actv */
#define ANSWER_MAX 4096

typedef struct host {
    pid_t pid; /* 0: not running */
    int callers_port;
    int ready_port;
    int metrics_port;
    int link_port;
    char settings[512];
    int memory_ends;  /* how often it exceeded its memory */
    int64_t start_ms; /* when to start it again; 0: not due */
} host_t;

static host_t hosts[HOSTS_MAX];
static int host_count;
static int ended_count;
static int next_host;
static int memory_limit_mb;
static const char *logs;

void
sleep_ms(int64_t ms)
{
    struct timespec pause = {.tv_sec = ms / 1000,
                             .tv_nsec = ms % 1000 * 1000000};

    nanosleep(&pause, NULL);
}

/* --- Hosts -------------------------------------------------------------- */

/* Finds free ports by binding all of them at one time. */
static bool
find_ports(int *ports, int count)
{
    int sockets[HOSTS_MAX * 4];
    bool good = true;

    for (int i = 0; i < count; i++) {
        struct sockaddr_in address = {
            .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        socklen_t length = sizeof(address);

        sockets[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        good =
            good &&
            bind(sockets[i], (struct sockaddr *)&address, length) == 0 &&
            getsockname(sockets[i], (struct sockaddr *)&address, &length) == 0;
        ports[i] = ntohs(address.sin_port);
    }
    for (int i = 0; i < count; i++) {
        close(sockets[i]);
    }
    return good;
}

/* The settings of deploy/entry.toml.in for a small deployment. */
static bool
write_settings(host_t *host, int index, const char *directory)
{
    FILE *file;

    snprintf(host->settings, sizeof(host->settings), "%s/host-%d.toml",
             directory, index);
    file = fopen(host->settings, "w");
    if (file == NULL) {
        return false;
    }
    fprintf(file,
            "host = \"host-%d\"\ndata_center = \"a\"\nregion = \"a\"\n"
            "address = \"127.0.0.1\"\ncallers_address = \"127.0.0.1:%d\"\n"
            "ready_address = \"127.0.0.1:%d\"\n"
            "metrics_address = \"127.0.0.1:%d\"\nlink_port = %d\n"
            "cpu_cores = 0.25\nmemory_mb = %d\n"
            "store_address = \"127.0.0.1:%d\"\nstore_lease_min_ms = 1000\n"
            "store_value_max_bytes = 1048576\n"
            "advice_address = \"127.0.0.1:%d\"\ndescriptors_max = 4100\n"
            "lease_max_ms = %d\nstop_timeout_ms = %d\n"
            "gang_timeout_ms = 3000\ndrain_ms = 6000\nkeep_ended_s = 120\n"
            "log_level = \"info\"\n",
            index, host->callers_port, host->ready_port, host->metrics_port,
            host->link_port, memory_limit_mb, platform_store_port(),
            platform_advice_port(), LEASE_MAX_MS, STOP_MAX_MS);
    return fclose(file) == 0;
}

/* The command of deploy/system.toml. */
static void
run_host(const host_t *host, const char *log_path)
{
    char settings[600];
    char *environment[] = {"PATH=/usr/bin:/bin", settings, NULL};
    char *arguments[] = {"target/fireflyvalve", "entry", NULL};
    int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    snprintf(settings, sizeof(settings), "FIREFLYVALVE_NODE_FILE=%s",
             host->settings);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(arguments[0], arguments, environment);
    _exit(127);
}

static bool
start_host(host_t *host, int index, const char *directory)
{
    char log_path[512];

    snprintf(log_path, sizeof(log_path), "%s/host-%d.log", directory, index);
    host->pid = fork();
    if (host->pid == 0) {
        run_host(host, log_path);
    }
    return host->pid > 0;
}

bool
hosts_start(int count, int memory_mb, const char *directory)
{
    int ports[HOSTS_MAX * 4];

    memory_limit_mb = memory_mb;
    logs = directory;
    host_count = count;
    if (!find_ports(ports, count * 4)) {
        return false;
    }
    for (int i = 0; i < count; i++) {
        hosts[i].callers_port = ports[i * 4];
        hosts[i].ready_port = ports[i * 4 + 1];
        hosts[i].metrics_port = ports[i * 4 + 2];
        hosts[i].link_port = ports[i * 4 + 3];
        if (!write_settings(&hosts[i], i, directory) ||
            !start_host(&hosts[i], i, directory)) {
            return false;
        }
    }
    return true;
}

int
hosts_ended(void)
{
    for (int i = 0; i < host_count; i++) {
        int status;

        if (hosts[i].pid > 0 &&
            waitpid(hosts[i].pid, &status, WNOHANG) == hosts[i].pid) {
            platform_record("host %d ended by itself status=%d", i, status);
            hosts[i].pid = 0;
            ended_count++;
        }
    }
    return ended_count;
}

void
host_kill(int host)
{
    platform_record("kill host %d", host);
    if (hosts[host].pid > 0) {
        kill(hosts[host].pid, SIGKILL);
        waitpid(hosts[host].pid, NULL, 0);
        hosts[host].pid = 0;
    }
}

static int
resident_mb(pid_t pid)
{
    char path[64];
    long pages = 0;
    long resident = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
    file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%ld %ld", &pages, &resident) != 2) {
        resident = 0;
    }
    fclose(file);
    return (int)(resident * sysconf(_SC_PAGESIZE) / 1000000);
}

int
hosts_enforce_memory(int times)
{
    int count = 0;

    for (int i = 0; i < host_count; i++) {
        host_t *host = &hosts[i];
        int used_mb = host->pid > 0 ? resident_mb(host->pid) : 0;

        if (used_mb > memory_limit_mb) {
            host->memory_ends++;
            platform_record("host %d exceeds its memory: %d of %d MB, for the "
                            "%d. time",
                            i, used_mb, memory_limit_mb, host->memory_ends);
            host_kill(i);
            host->start_ms = platform_now_ms() + RESTART_MS;
        }
        else if (host->start_ms != 0 && platform_now_ms() >= host->start_ms) {
            host->start_ms = 0;
            start_host(host, i, logs);
        }
        count += host->memory_ends >= times;
    }
    return count;
}

void
hosts_stop(void)
{
    for (int i = 0; i < host_count; i++) {
        if (hosts[i].pid > 0) {
            host_kill(i);
        }
    }
}

int
host_leader(void)
{
    char name[128];

    platform_leader(name, sizeof(name));
    return strncmp(name, "host-", 5) == 0 ? atoi(name + 5) : -1;
}

/* --- Client ------------------------------------------------------------- */

static int
connect_to(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
write_all(int fd, const char *data, size_t length)
{
    while (length > 0) {
        ssize_t written = send(fd, data, length, MSG_NOSIGNAL);

        if (written <= 0) {
            return false;
        }
        data += written;
        length -= (size_t)written;
    }
    return true;
}

/* Reads until the host closes the connection or the deadline has passed. */
static size_t
read_answer(int fd, char *text, size_t size, int64_t until_ms)
{
    size_t used = 0;

    for (;;) {
        struct pollfd ready = {.fd = fd, .events = POLLIN};
        int64_t left_ms = until_ms - platform_now_ms();
        ssize_t length;

        if (left_ms <= 0 || poll(&ready, 1, (int)left_ms) <= 0) {
            break;
        }
        length = read(fd, text + used, size - 1 - used);
        if (length <= 0) {
            break;
        }
        used += (size_t)length;
    }
    text[used] = '\0';
    return used;
}

static int
call_port(int port, const char *method, const char *path, const char *body,
          char *answer_text)
{
    char head[512];
    int64_t until_ms = platform_now_ms() + DEADLINE_MS;
    int status = 0;
    int fd = connect_to(port);

    answer_text[0] = '\0';
    if (fd < 0) {
        return 0;
    }
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: " QUEUE_HOST
             "\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\n"
             "Connection: close\r\nContent-Length: %zu\r\n\r\n",
             method, path, DEADLINE_MS, strlen(body));
    if (write_all(fd, head, strlen(head)) &&
        write_all(fd, body, strlen(body)) &&
        read_answer(fd, answer_text, ANSWER_MAX, until_ms) > 12) {
        status = atoi(answer_text + 9);
    }
    close(fd);
    return status;
}

int
call_host(int host, const char *method, const char *path, const char *body,
          char *state, size_t size)
{
    char text[ANSWER_MAX];
    int status = call_port(hosts[host].callers_port, method, path, body, text);
    const char *found = strstr(text, "\"state\":\"");

    if (state != NULL) {
        snprintf(state, size, "%.*s",
                 found != NULL ? (int)strcspn(found + 9, "\"") : 0,
                 found != NULL ? found + 9 : "");
    }
    platform_record("call host=%d %s %s status=%d state=%s", host, method,
                    path, status, state != NULL ? state : "");
    return status;
}

static int
choose_host(void)
{
    do {
        next_host = (next_host + 1) % host_count;
    } while (hosts[next_host].pid == 0);
    return next_host;
}

void
submit(job_t *job, uint64_t id, const char *body, int tasks)
{
    char path[64];

    snprintf(job->id, sizeof(job->id), "%016llx", (unsigned long long)id);
    snprintf(path, sizeof(path), QUEUE_PREFIX "%s", job->id);
    job->tasks = tasks;
    for (int i = 0; i <= RETRIES_MAX && !job->accepted; i++) {
        if (i > 0) {
            sleep_ms(300);
        }
        job->accepted =
            call_host(choose_host(), "POST", path, body, NULL, 0) / 100 == 2;
    }
}

bool
ask_state(const job_t *job, char *state, size_t size)
{
    char path[64];

    snprintf(path, sizeof(path), QUEUE_PREFIX "%s", job->id);
    for (int i = 0; i <= RETRIES_MAX; i++) {
        int status = call_host(choose_host(), "GET", path, "", state, size);

        if (status == 200) {
            return true;
        }
        if (status == 410) {
            return false;
        }
    }
    return false;
}

bool
hosts_wait_ready(int64_t timeout_ms)
{
    int64_t until_ms = platform_now_ms() + timeout_ms;
    char text[ANSWER_MAX];

    for (int i = 0; i < host_count; i++) {
        while (call_port(hosts[i].ready_port, "GET", "/ready", "", text) !=
               200) {
            if (platform_now_ms() > until_ms || hosts_ended() > 0) {
                return false;
            }
            sleep_ms(100);
        }
    }
    return true;
}

/* --- Cases -------------------------------------------------------------- */

typedef struct named_case {
    const char *name;
    int (*play)(const driver_t *driver);
    int hosts;
    int memory_mb; /* of each host */
    platform_options_t platform;
} named_case_t;

/* Workers of about 32 cores and 128 GB, or fewer and smaller ones. */
static const named_case_t cases[] = {
    {"large-job", case_large_job, 3, SITE_MEMORY_MB, {24, 32000, 131072, 0}},
    {"large-job-memory",
     case_large_job_memory,
     3,
     SMALL_MEMORY_MB,
     {24, 32000, 131072, 0}},
    {"doubtful-start",
     case_doubtful_start,
     3,
     SITE_MEMORY_MB,
     {4, 8000, 32768, 0}},
    /* One way 20 ms between regions. */
    {"cancelled-jobs",
     case_cancelled_jobs,
     3,
     SITE_MEMORY_MB,
     {3, 32000, 131072, 40}},
    {"lasting-task",
     case_lasting_task,
     3,
     SITE_MEMORY_MB,
     {4, 8000, 32768, 0}},
};

static const named_case_t *
find_case(const char *name)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        if (strcmp(cases[i].name, name) == 0) {
            return &cases[i];
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    driver_t driver = {.trouble =
                           trouble == NULL || strcmp(trouble, "0") != 0};
    const named_case_t *played = argc == 4 ? find_case(argv[1]) : NULL;
    int code = 2;

    /* Ends with its script, and the hosts end with it. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    alarm(PLAY_MAX_S);
    if (played == NULL) {
        fputs("usage: driver CASE RECORD DIRECTORY\n", stderr);
        return 2;
    }
    driver.record = fopen(argv[2], "w");
    driver.hosts = played->hosts;
    if (driver.record == NULL ||
        !platform_start(&played->platform, driver.record) ||
        !hosts_start(played->hosts, played->memory_mb, argv[3]) ||
        !hosts_wait_ready(READY_MS)) {
        fputs("the case cannot run\n", stderr);
    }
    else {
        code = played->play(&driver);
        if (hosts_ended() > 0) {
            code = 1;
        }
        platform_record("result %d", code);
    }
    hosts_stop();
    fclose(driver.record);
    return code;
}
