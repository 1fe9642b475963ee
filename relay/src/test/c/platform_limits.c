/*
 * A platform with narrow limits, for tests: loaded into a process by LD_PRELOAD.
 *
 *   LIMIT_THREADS    pthread_create fails with EAGAIN once the process has so many threads
 *   LIMIT_BACKLOG    listen takes a queue of at most so many connections
 *   DELAY_THREAD_US  pthread_create takes so many microseconds longer
 *   DELAY_END_US     a thread that has done its work counts for so many microseconds more
 *   FAULT_SEED       with FAULT_PER_MILLE: so many of a thousand calls of accept, socket and connect fail for
 *                    a moment, and as many reads and writes of sockets are short
 *   CLOCK_STEP_S     with CLOCK_STEP_AFTER_MS: the wall clock is stepped by so many seconds, so long after the
 *                    process has first read it
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static long setting(const char *name, long absent)
{
    const char *value = getenv(name);
    return value ? atol(value) : absent;
}

/* Each thread of the process is a folder of its own, beside "." and "..". */
static long threads(void)
{
    struct stat tasks;
    return stat("/proc/self/task", &tasks) ? 0 : (long) tasks.st_nlink - 2;
}

struct work {
    void *(*start)(void *);
    void *argument;
};

static void *work_then_wait(void *given)
{
    struct work work = *(struct work *) given;
    free(given);
    void *result = work.start(work.argument);
    usleep(setting("DELAY_END_US", 0));
    return result;
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*start)(void *), void *argument)
{
    static int (*next)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    if (!next) {
        next = dlsym(RTLD_NEXT, "pthread_create");
    }
    long most = setting("LIMIT_THREADS", 0);
    if (most && threads() >= most) {
        return EAGAIN;
    }
    long delay = setting("DELAY_THREAD_US", 0);
    if (delay) {
        usleep(delay);
    }
    if (!setting("DELAY_END_US", 0)) {
        return next(thread, attributes, start, argument);
    }
    struct work *work = malloc(sizeof *work);
    if (!work) {
        return EAGAIN;
    }
    work->start = start;
    work->argument = argument;
    int failed = next(thread, attributes, work_then_wait, work);
    if (failed) {
        free(work);
    }
    return failed;
}

int listen(int socket, int backlog)
{
    static int (*next)(int, int);
    if (!next) {
        next = dlsym(RTLD_NEXT, "listen");
    }
    long most = setting("LIMIT_BACKLOG", backlog);
    return next(socket, backlog < most ? backlog : (int) most);
}

/* ---- faults that pass, drawn from a seed */

static int drawn(uint64_t of)
{
    static uint64_t calls;
    uint64_t z = (uint64_t) setting("FAULT_SEED", 0) + __atomic_add_fetch(&calls, 1, __ATOMIC_RELAXED)
        * 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return (int) ((z ^ (z >> 31)) % of);
}

static int faulty(void)
{
    long most = setting("FAULT_PER_MILLE", 0);
    return most && drawn(1000) < most;
}

static int fail(const int *errors, int count)
{
    errno = errors[drawn((uint64_t) count)];
    return -1;
}

int accept(int socket, struct sockaddr *address, socklen_t *length)
{
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, EINTR};
    static int (*next)(int, struct sockaddr *, socklen_t *);
    if (!next) {
        next = dlsym(RTLD_NEXT, "accept");
    }
    return faulty() ? fail(errors, 5) : next(socket, address, length);
}

int socket(int domain, int type, int protocol)
{
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS};
    static int (*next)(int, int, int);
    if (!next) {
        next = dlsym(RTLD_NEXT, "socket");
    }
    return faulty() ? fail(errors, 3) : next(domain, type, protocol);
}

int connect(int socket, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH};
    static int (*next)(int, const struct sockaddr *, socklen_t);
    if (!next) {
        next = dlsym(RTLD_NEXT, "connect");
    }
    return faulty() ? fail(errors, 4) : next(socket, address, length);
}

static size_t shortened(int descriptor, size_t count)
{
    struct stat kind;
    int isShort = count > 1 && faulty() && !fstat(descriptor, &kind) && S_ISSOCK(kind.st_mode);
    return isShort ? 1 + (size_t) drawn(count - 1) : count;
}

ssize_t read(int descriptor, void *bytes, size_t count)
{
    static ssize_t (*next)(int, void *, size_t);
    if (!next) {
        next = dlsym(RTLD_NEXT, "read");
    }
    return next(descriptor, bytes, shortened(descriptor, count));
}

ssize_t write(int descriptor, const void *bytes, size_t count)
{
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) {
        next = dlsym(RTLD_NEXT, "write");
    }
    return next(descriptor, bytes, shortened(descriptor, count));
}

/* ---- a stepped wall clock; spans of real time are not touched */

static int (*clock_next(void))(clockid_t, struct timespec *)
{
    static int (*next)(clockid_t, struct timespec *);
    if (!next) {
        next = dlsym(RTLD_NEXT, "clock_gettime");
    }
    return next;
}

static long step_seconds(void)
{
    static int64_t first_ms;
    long step = setting("CLOCK_STEP_S", 0);
    struct timespec now;
    if (!step || clock_next()(CLOCK_MONOTONIC, &now)) {
        return 0;
    }
    int64_t now_ms = (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
    first_ms = first_ms ? first_ms : now_ms;
    return now_ms - first_ms >= setting("CLOCK_STEP_AFTER_MS", 0) ? step : 0;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int failed = clock_next()(clock, now);
    if (!failed && clock == CLOCK_REALTIME) {
        now->tv_sec += step_seconds();
    }
    return failed;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec exact;
    (void) zone;
    int failed = clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return failed;
}
