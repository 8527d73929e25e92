/*
 * Starts a small deployment on loopback addresses.
 */

#include "driver.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define FIRST_PORT 17000
#define PORT_RANGES 60
#define PORTS_PER_RANGE 200
#define CONTROL_PORT 2
#define HOST_PORTS 100
#define PORTS_PER_HOST 4
#define READY_MS 15000
#define RUN_LIMIT_S 115 /* the whole script may take 120 s */
#define ATTEMPTS 5       /* the first one and the sheet's four retries */

typedef struct host {
    pid_t pid; /* 0: not running */
    char settings[256];
} host_t;

static int first_port;
static int host_count;
static host_t hosts[HOSTS_MAX];
static pid_t cell_pid;
static char folder[128];
static FILE *record;
static int64_t epoch_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
    struct timespec left = {.tv_sec = ms / 1000,
                            .tv_nsec = (ms % 1000) * 1000000};

    while (ms > 0 && nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

bool
trouble(void)
{
    const char *value = getenv("TROUBLE");

    return value == NULL || strcmp(value, "0") != 0;
}

void
note(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ", (double)(now_ms() - epoch_ms) / 1000);
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

static void
end_process(pid_t *pid)
{
    if (*pid > 0) {
        kill(*pid, SIGKILL);
        waitpid(*pid, NULL, 0);
        *pid = 0;
    }
}

static void
end_all(void)
{
    for (int i = 0; i < host_count; i++) {
        end_process(&hosts[i].pid);
    }
    end_process(&cell_pid);
}

static void
end_by_signal(int signal)
{
    (void)signal;
    end_all();
    _exit(NOT_RUN);
}

static void
give_up(const char *cause)
{
    fprintf(stderr, "not run: %s\n", cause);
    if (record != NULL) {
        note("not run: %s", cause);
    }
    end_all();
    exit(NOT_RUN);
}

static pid_t
start_process(char *const *argv, const char *variable, const char *log)
{
    pid_t parent = getpid();
    pid_t pid = fork();
    int output;

    if (pid != 0) {
        return pid;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(126);
    }
    signal(SIGTERM, SIG_DFL);
    signal(SIGINT, SIG_DFL);
    signal(SIGALRM, SIG_DFL);
    output = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (variable != NULL) {
        setenv("FIREFLYVALVE_NODE_FILE", variable, 1);
    }
    execv(argv[0], argv);
    _exit(127);
}

static bool
is_port_free(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    bool is_free;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return is_free;
}

static void
choose_ports(void)
{
    for (int range = 0; range < PORT_RANGES; range++) {
        int first = FIRST_PORT + range * PORTS_PER_RANGE;
        int port = first;

        while (port < first + PORTS_PER_RANGE && is_port_free(port)) {
            port++;
        }
        if (port == first + PORTS_PER_RANGE) {
            first_port = first;
            return;
        }
    }
    give_up("no free ports");
}

static int
host_port(int host, int which)
{
    return first_port + HOST_PORTS + host * PORTS_PER_HOST + which;
}

/* The settings that deploy/entry.toml.in gives for kotuku-cs. */
static void
write_settings(int host)
{
    FILE *file;

    snprintf(hosts[host].settings, sizeof(hosts[host].settings),
             "%s/host-%d.toml", folder, host);
    file = fopen(hosts[host].settings, "w");
    if (file == NULL) {
        give_up("settings cannot be written");
    }
    fprintf(file,
            "host = \"front-akl-a-%d\"\ndata_center = \"akl-a\"\n"
            "region = \"akl\"\naddress = \"127.0.0.1\"\n"
            "callers_address = \"127.0.0.1:%d\"\n"
            "ready_address = \"127.0.0.1:%d\"\n"
            "metrics_address = \"127.0.0.1:%d\"\nlink_port = %d\n"
            "cpu_cores = 0.25\nstore_address = \"127.0.0.1:%d\"\n"
            "store_lease_min_ms = 1000\nstore_value_max_bytes = 1048576\n"
            "advice_address = \"127.0.0.1:%d\"\ndescriptors_max = 4100\n"
            "lease_max_ms = 10000\nstop_timeout_ms = 900\n"
            "gang_timeout_ms = 3000\ndrain_ms = 6000\nkeep_ended_s = 120\n"
            "log_level = \"info\"\n",
            host + 1, host_port(host, 0), host_port(host, 1),
            host_port(host, 2), host_port(host, 3), first_port,
            first_port + 1);
    fclose(file);
}

void
start_host(int host)
{
    char log[256];
    char *const argv[] = {"target/fireflyvalve", "entry", NULL};

    snprintf(log, sizeof(log), "%s/host-%d.log", folder, host);
    hosts[host].pid = start_process(argv, hosts[host].settings, log);
}

void
kill_host(int host)
{
    end_process(&hosts[host].pid);
}

bool
is_host_running(int host)
{
    if (hosts[host].pid > 0 &&
        waitpid(hosts[host].pid, NULL, WNOHANG) == hosts[host].pid) {
        hosts[host].pid = 0;
    }
    return hosts[host].pid > 0;
}

long
host_memory_kib(int host)
{
    char path[64];
    char line[256];
    long kib = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)hosts[host].pid);
    file = hosts[host].pid > 0 ? fopen(path, "r") : NULL;
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "VmRSS: %ld", &kib) == 1) {
            break;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kib;
}

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

/* Whether a whole answer has been read. */
static bool
is_complete(const char *answer, size_t length)
{
    const char *end = strstr(answer, "\r\n\r\n");
    const char *header = strcasestr(answer, "Content-Length:");

    return end != NULL &&
           (header == NULL ||
            length >= (size_t)(end + 4 - answer) +
                          strtoul(header + strlen("Content-Length:"), NULL,
                                  10));
}

static int
call(int port, const char *method, const char *path, const char *body,
     int timeout_ms, char *out, size_t size)
{
    static char answer[65536];
    static char message[65536];
    int64_t until_ms = now_ms() + timeout_ms;
    size_t length = 0;
    const char *text;
    int fd = connect_to(port);
    int sent;

    if (out != NULL) {
        out[0] = '\0';
    }
    if (fd < 0) {
        return 0;
    }
    sent = snprintf(message, sizeof(message),
                    "%s %s HTTP/1.1\r\nHost: nony24.example\r\n"
                    "Content-Type: application/json\r\nX-Deadline-Ms: %d\r\n"
                    "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                    method, path, timeout_ms, body != NULL ? strlen(body) : 0,
                    body != NULL ? body : "");
    if (send(fd, message, (size_t)sent, MSG_NOSIGNAL) != sent) {
        close(fd);
        return 0;
    }
    answer[0] = '\0';
    while (!is_complete(answer, length)) {
        struct pollfd ready = {.fd = fd, .events = POLLIN};
        int64_t left_ms = until_ms - now_ms();
        ssize_t got;

        if (left_ms <= 0 || poll(&ready, 1, (int)left_ms) <= 0) {
            break;
        }
        got = recv(fd, answer + length, sizeof(answer) - 1 - length, 0);
        if (got <= 0) {
            break;
        }
        length += (size_t)got;
        answer[length] = '\0';
    }
    close(fd);
    if (!is_complete(answer, length)) {
        return 0;
    }
    text = strstr(answer, "\r\n\r\n") + 4;
    if (out != NULL) {
        snprintf(out, size, "%s", text);
    }
    return atoi(answer + strlen("HTTP/1.1 "));
}

int
request(int host, const char *method, const char *path, const char *body,
        int timeout_ms, char *out, size_t size)
{
    char text[256];
    int status = call(host_port(host, 0), method, path, body, timeout_ms, text,
                      sizeof(text));

    note("%s %s at host %d -> %d %s", method, path, host, status, text);
    if (out != NULL) {
        snprintf(out, size, "%s", text);
    }
    return status;
}

int
request_until_answered(int host, const char *method, const char *path,
                       const char *body, char *out, size_t size)
{
    int status = 0;

    for (int i = 0; i < ATTEMPTS; i++) {
        status = request((host + i) % host_count, method, path, body, 3000,
                         out, size);
        if (status != 0 && status < 500) {
            break;
        }
        sleep_ms(status == 503 ? 1000 : 100);
    }
    return status;
}

bool
control(const char *path, const char *body, char *out, size_t size)
{
    return call(first_port + CONTROL_PORT, "POST", path, body, 3000, out,
                size) == 200;
}

int64_t
number_of(const char *json, const char *name, int64_t fallback)
{
    char key[64];
    const char *found;

    snprintf(key, sizeof(key), "\"%s\":", name);
    found = strstr(json, key);
    return found != NULL ? strtoll(found + strlen(key), NULL, 10) : fallback;
}

static void
wait_until_ready(void)
{
    int64_t until_ms = now_ms() + READY_MS;
    int ready = 0;

    while (ready < host_count && now_ms() < until_ms) {
        ready = 0;
        for (int i = 0; i < host_count; i++) {
            ready += call(host_port(i, 1), "GET", "/ready", NULL, 500, NULL,
                          0) == 200;
        }
        sleep_ms(100);
    }
    if (ready < host_count) {
        give_up("the hosts did not get ready");
    }
}

void
start_cell(int count, int workers)
{
    char port[16];
    char worker_text[16];
    char epoch[32];
    char path[256];
    char *const argv[] = {"target/review-2/cell", port, worker_text, path,
                          epoch, NULL};
    int64_t until_ms = now_ms() + READY_MS;
    const char *temporary = getenv("TMPDIR");

    epoch_ms = now_ms();
    record = fopen(getenv("RECORD") != NULL ? getenv("RECORD") : "record.txt",
                   "w");
    snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
             temporary != NULL && strlen(temporary) < 100 ? temporary : "/tmp");
    if (record == NULL || mkdtemp(folder) == NULL) {
        give_up("no temporary folder");
    }
    signal(SIGTERM, end_by_signal);
    signal(SIGINT, end_by_signal);
    signal(SIGALRM, end_by_signal);
    signal(SIGPIPE, SIG_IGN);
    alarm(RUN_LIMIT_S);
    choose_ports();
    host_count = count;
    snprintf(port, sizeof(port), "%d", first_port);
    snprintf(worker_text, sizeof(worker_text), "%d", workers);
    snprintf(path, sizeof(path), "%s/cell.txt", folder);
    snprintf(epoch, sizeof(epoch), "%lld", (long long)epoch_ms);
    cell_pid = start_process(argv, NULL, path);
    while (!control("/state", "{}", NULL, 0) && now_ms() < until_ms) {
        sleep_ms(50);
    }
    for (int i = 0; i < count; i++) {
        write_settings(i);
        start_host(i);
    }
    wait_until_ready();
    note("%d hosts and %d workers are ready, trouble=%d", count, workers,
         trouble() ? 1 : 0);
}

static void
append_cell_record(void)
{
    char path[256];
    char line[4096];
    FILE *file;

    snprintf(path, sizeof(path), "%s/cell.txt", folder);
    file = fopen(path, "r");
    fputs("\nWhat the platform's stand-in recorded:\n\n", record);
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        fputs(line, record);
    }
    if (file != NULL) {
        fclose(file);
    }
}

static void
remove_folder(void)
{
    char path[256];

    for (int i = 0; i < host_count; i++) {
        unlink(hosts[i].settings);
        snprintf(path, sizeof(path), "%s/host-%d.log", folder, i);
        unlink(path);
    }
    snprintf(path, sizeof(path), "%s/cell.txt", folder);
    unlink(path);
    rmdir(folder);
}

int
finish(int code, const char *verdict)
{
    note("%s", verdict);
    end_all();
    append_cell_record();
    fclose(record);
    if (getenv("KEEP_LOGS") == NULL) {
        remove_folder();
    }
    printf("%s\n", verdict);
    return code;
}
