/*
 * A platform with narrow limits, for tests: loaded into a process by LD_PRELOAD.
 *
 *   LIMIT_THREADS    pthread_create fails with EAGAIN once the process has so many threads
 *   LIMIT_BACKLOG    listen takes a queue of at most so many connections
 *   DELAY_THREAD_US  pthread_create takes so many microseconds longer
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/stat.h>
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
    return next(thread, attributes, start, argument);
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
