/*
 * Child processes of a test.
 */

#include "process.h"

#include "fake-server.h"
#include "fireflyvalve.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROCESSES_MAX 256
#define PROCESS_POLL_MS 5

/* Read by a signal handler, so a free entry is set to 0 and entries are not
 * moved. */
static volatile pid_t child_pids[PROCESSES_MAX];
/* Threads that run different cells start and reap processes concurrently. */
static pthread_mutex_t child_pids_lock = PTHREAD_MUTEX_INITIALIZER;

/* Waits for the children, because a killed process with thousands of threads
 * keeps its ports for half a second, in which the next test may start. */
static void
kill_children(void)
{
    for (int i = 0; i < PROCESSES_MAX; i++) {
        if (child_pids[i] > 0) {
            kill(child_pids[i], SIGKILL);
        }
    }
    for (int i = 0; i < PROCESSES_MAX; i++) {
        if (child_pids[i] > 0) {
            waitpid(child_pids[i], NULL, 0);
        }
    }
}

static void
kill_children_and_exit(int signal)
{
    kill_children();
    _exit(128 + signal);
}

static const int cleanup_signals[] = {SIGTERM, SIGINT,  SIGHUP, SIGALRM,
                                      SIGABRT, SIGSEGV, SIGBUS, SIGFPE};

#define CLEANUP_SIGNALS (sizeof(cleanup_signals) / sizeof(cleanup_signals[0]))

/* Kills the children on a normal exit, the test runner's timeout and a crash.
 */
static void
install_cleanup(void)
{
    static bool installed;
    struct sigaction action = {.sa_handler = kill_children_and_exit};

    if (installed) {
        return;
    }
    installed = true;
    atexit(kill_children);
    for (size_t i = 0; i < CLEANUP_SIGNALS; i++) {
        sigaction(cleanup_signals[i], &action, NULL);
    }
    signal(SIGPIPE, SIG_IGN);
}

static void
replace_child_pid(pid_t from, pid_t to)
{
    pthread_mutex_lock(&child_pids_lock);
    for (int i = 0; i < PROCESSES_MAX; i++) {
        if (child_pids[i] == from) {
            child_pids[i] = to;
            pthread_mutex_unlock(&child_pids_lock);
            return;
        }
    }
    fprintf(stderr, "more than %d processes in one test\n", PROCESSES_MAX);
    abort();
}

static void
redirect_output(const char *log_path)
{
    int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

    if (log >= 0) {
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
    }
}

static void
run_child(pid_t parent, const char *log_path, const char *const *argv)
{
    sigset_t none;

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    /* The parent may have died before the line above. */
    if (getppid() != parent) {
        _exit(126);
    }
    for (size_t i = 0; i < CLEANUP_SIGNALS; i++) {
        signal(cleanup_signals[i], SIG_DFL);
    }
    signal(SIGPIPE, SIG_DFL);
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    redirect_output(log_path);
    execv(argv[0], (char *const *)argv);
    fprintf(stderr, "cannot run %s: %s\n", argv[0], strerror(errno));
    _exit(127);
}

/**
 * FvProcess_Start - start a program
 * @process: filled in
 * @log_path: file that its output is appended to
 * @argv: path and arguments, ended by NULL
 *
 * The kernel kills the child when the thread that started it ends, so the
 * calling thread must outlive the child.
 *
 * Return: false when no process can be created.
 */
bool
FvProcess_Start(process_t *process, const char *log_path,
                const char *const *argv)
{
    pid_t parent = getpid();
    pid_t pid;
    sigset_t all;
    sigset_t before;

    install_cleanup();
    snprintf(process->log_path, sizeof(process->log_path), "%s", log_path);
    process->exit_status = -1;
    /* The child must not run the handlers of this process. */
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    pid = fork();
    if (pid == 0) {
        run_child(parent, log_path, argv);
    }
    pthread_sigmask(SIG_SETMASK, &before, NULL);
    process->pid = pid > 0 ? pid : 0;
    if (pid < 0) {
        fprintf(stderr, "cannot start %s: %s\n", argv[0], strerror(errno));
        return false;
    }
    replace_child_pid(0, pid);
    return true;
}

/**
 * FvProcess_Signal - send a signal
 * @process: the process
 * @signal: for example SIGSTOP
 *
 * Return: false when the process is not running.
 */
bool
FvProcess_Signal(const process_t *process, int signal)
{
    return process->pid > 0 && kill(process->pid, signal) == 0;
}

/**
 * FvProcess_HasExited - reap a process if it has ended
 * @process: the process; exit_status is set to its exit code, or to 128 plus
 *           the number of the signal that ended it
 *
 * Return: true when the process is not running.
 */
bool
FvProcess_HasExited(process_t *process)
{
    int status;

    if (process->pid == 0) {
        return true;
    }
    if (waitpid(process->pid, &status, WNOHANG) != process->pid) {
        return false;
    }
    replace_child_pid(process->pid, 0);
    process->pid = 0;
    process->exit_status =
        WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
}

/**
 * FvProcess_Wait - wait for a process to end
 * @process: the process
 * @timeout_ms: timeout
 *
 * Return: false when the process still runs after the timeout.
 */
bool
FvProcess_Wait(process_t *process, int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;

    while (!FvProcess_HasExited(process)) {
        if (FvClock_NowMs() >= until_ms) {
            return false;
        }
        FvFake_SleepMs(PROCESS_POLL_MS);
    }
    return true;
}

/**
 * FvProcess_Kill - kill a process, also a stopped one, and reap it
 * @process: the process; may have ended
 */
void
FvProcess_Kill(process_t *process)
{
    if (FvProcess_Signal(process, SIGKILL)) {
        FvProcess_Wait(process, INT32_MAX);
    }
}

/**
 * FvProcess_Terminate - send SIGTERM, and SIGKILL after a timeout
 * @process: the process
 * @timeout_ms: timeout
 *
 * Return: true when the process ended in time with exit status 0.
 */
bool
FvProcess_Terminate(process_t *process, int64_t timeout_ms)
{
    FvProcess_Signal(process, SIGTERM);
    if (!FvProcess_Wait(process, timeout_ms)) {
        FvProcess_Kill(process);
        return false;
    }
    return process->exit_status == 0;
}
