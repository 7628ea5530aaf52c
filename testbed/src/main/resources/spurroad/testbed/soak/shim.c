/*
 * Loaded into a proxy by the soak (LD_PRELOAD): makes system calls fail as Linux documents they may, and steps
 * the clock that tells the time of day. What is to fail is read from a file that the soak maps and writes:
 * eight 64-bit numbers in the machine's order, see the indexes below. A probability is in parts of 1,000.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { CLOCK_OFFSET_NS, ACCEPT, SOCKET, CONNECT, SHORT_IO, BROKEN_READ, DISK, WAIT, FIELDS };

static volatile int64_t *control;
static const char *folder; /* whose files fail */
static size_t folder_length;
static __thread uint64_t random_state;
static unsigned char outgoing[65536]; /* by descriptor: connections that the proxy has opened itself */

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("SOAK_SHIM");
    folder = getenv("SOAK_FOLDER");
    folder_length = folder ? strlen(folder) : 0;
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file >= 0) {
        void *at = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
        control = at == MAP_FAILED ? NULL : at;
        close(file);
    }
}

static uint64_t next_random(void) {
    if (random_state == 0) {
        random_state = ((uint64_t) (uintptr_t) &random_state ^ (uint64_t) getpid() << 32) | 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

static int fails(int field) {
    return control && control[field] > 0 && next_random() % 1000 < (uint64_t) control[field];
}

static int with_error(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}

#define REAL(name) __typeof__(&name) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)
#define FAIL(...)                                                     \
    do {                                                              \
        static const int errors[] = {__VA_ARGS__};                    \
        return with_error(errors, sizeof(errors) / sizeof(errors[0])); \
    } while (0)

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (!real) {
        real = (__typeof__(&clock_gettime)) dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = now->tv_sec * 1000000000LL + now->tv_nsec + control[CLOCK_OFFSET_NS];
        now->tv_sec = ns / 1000000000LL;
        now->tv_nsec = ns % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec exact;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return 0;
}

static int incoming(int file) {
    if (file >= 0 && file < (int) sizeof(outgoing)) {
        outgoing[file] = 0;
    }
    return file;
}

int accept(int socket, struct sockaddr *restrict address, socklen_t *restrict length) {
    if (fails(ACCEPT)) {
        FAIL(ENFILE, ENOBUFS, EMFILE, EPROTO, EPERM, EINTR);
    }
    REAL(accept);
    return incoming(real(socket, address, length));
}

int accept4(int socket, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    if (fails(ACCEPT)) {
        FAIL(ENFILE, ENOBUFS, EMFILE, EPROTO, EPERM, EINTR);
    }
    REAL(accept4);
    return incoming(real(socket, address, length, flags));
}

int socket(int domain, int type, int protocol) {
    if (fails(SOCKET)) {
        FAIL(ENFILE, ENOBUFS, EMFILE);
    }
    REAL(socket);
    return real(domain, type, protocol);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    if (fails(CONNECT)) {
        FAIL(EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ECONNREFUSED, EHOSTUNREACH);
    }
    if (socket >= 0 && socket < (int) sizeof(outgoing)) {
        outgoing[socket] = 1;
    }
    REAL(connect);
    return real(socket, address, length);
}

static int is_tcp(int file) {
    int type = 0;
    socklen_t length = sizeof(type);
    return getsockopt(file, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

static size_t shortened(size_t count) {
    return count > 1 ? 1 + next_random() % (count - 1) : count;
}

ssize_t read(int file, void *buffer, size_t count) {
    REAL(read);
    if (file >= 0 && file < (int) sizeof(outgoing) && outgoing[file] && fails(BROKEN_READ) && is_tcp(file)) {
        shutdown(file, SHUT_RDWR); /* it is broken in truth */
        FAIL(ETIMEDOUT, EHOSTUNREACH, ECONNRESET);
    }
    if (fails(WAIT) && is_tcp(file)) {
        FAIL(EINTR);
    }
    return real(file, buffer, fails(SHORT_IO) && is_tcp(file) ? shortened(count) : count);
}

static int is_watched_file(int file) {
    char link[64];
    char path[512];
    if (folder_length == 0) {
        return 0;
    }
    snprintf(link, sizeof(link), "/proc/self/fd/%d", file);
    ssize_t length = readlink(link, path, sizeof(path) - 1);
    return length > 0 && (size_t) length > folder_length && strncmp(path, folder, folder_length) == 0;
}

ssize_t write(int file, const void *buffer, size_t count) {
    REAL(write);
    if (control && control[DISK] > 0 && is_watched_file(file)) {
        if (fails(DISK)) {
            if (count > 1) {
                real(file, buffer, count / 2); /* half of it is there */
            }
            FAIL(ENOSPC, EIO);
        }
    } else if (fails(WAIT) && is_tcp(file)) {
        FAIL(EINTR);
    } else if (fails(SHORT_IO) && is_tcp(file)) {
        return real(file, buffer, shortened(count));
    }
    return real(file, buffer, count);
}

int fsync(int file) {
    if (control && control[DISK] > 0 && is_watched_file(file) && fails(DISK)) {
        FAIL(ENOSPC, EIO);
    }
    REAL(fsync);
    return real(file);
}

int fdatasync(int file) {
    if (control && control[DISK] > 0 && is_watched_file(file) && fails(DISK)) {
        FAIL(ENOSPC, EIO);
    }
    REAL(fdatasync);
    return real(file);
}

int rename(const char *from, const char *to) {
    if (folder_length > 0 && strncmp(to, folder, folder_length) == 0 && fails(DISK)) {
        FAIL(ENOSPC, EIO);
    }
    REAL(rename);
    return real(from, to);
}

int epoll_wait(int poll, struct epoll_event *events, int most, int timeout) {
    if (fails(WAIT)) {
        FAIL(EINTR);
    }
    REAL(epoll_wait);
    return real(poll, events, most, timeout);
}
