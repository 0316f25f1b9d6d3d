/*
 * Fault injection library, loaded by LD_PRELOAD into a gatherer under test. It makes system calls fail, transfer fewer
 * bytes or be interrupted, as Linux documents that they may, and steps the wall clock. It affects only the process
 * that loads it.
 *
 * Environment variables:
 *   FAULTS         NAME=VALUE,...: the settings of `struct settings`
 *   FAULTS_SWITCH  path of a file: faults are injected only while it exists; optional
 *
 * Random numbers are drawn from the seed alone, so that a run with one thread can be repeated.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct settings {
    /* Probability in 0..1 that a socket read or write is shortened, or that a call is interrupted (EINTR). */
    double short_read, short_write, interrupt, wait_interrupt;
    /* Probability that the call fails; `broken`: that a socket read fails with a network error. */
    double accept, connect, socket, bind, broken;
    double open, file_write, file_sync;
    /* Largest length of a shortened read or write, in bytes. */
    double read_bytes, write_bytes;
    /* Largest offset of the wall clock either way, in seconds, and the time between two steps, in milliseconds. */
    double wall_step_s, wall_period_ms;
    /* Faults are injected in the first `on_ms` of each `period_ms`; always if `period_ms` is 0. */
    double on_ms, period_ms;
    double seed;
};

/* Time between two checks of the switch file. */
#define SWITCH_CHECK_INTERVAL_MS 2
/* The golden ratio in 64 bits, whose multiples are spread evenly. */
#define SEED_MULTIPLIER 0x9e3779b97f4a7c15ull
/* 2^53: scales 53 random bits to 0..1. */
#define RANDOM_RANGE 9007199254740992.0

static struct settings settings = {.read_bytes = 64, .write_bytes = 16};
static const char *switch_path;
static uint64_t random_state;
static int64_t start_ms, switch_checked_ms = -1000000;
static int is_switched_on;

/* Declares `real`, the function of this name that the library replaces. */
#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

/* The monotonic clock, read past the `clock_gettime` below. */
static int64_t monotonic_ms(void) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real) real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    struct timespec now;
    real(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Sets a setting by its name; unknown names are ignored. */
static void set(const char *name, double value) {
#define FIELD(field) if (!strcmp(name, #field)) settings.field = value
    FIELD(short_read); FIELD(short_write); FIELD(interrupt); FIELD(wait_interrupt);
    FIELD(accept); FIELD(connect); FIELD(socket); FIELD(bind); FIELD(broken);
    FIELD(open); FIELD(file_write); FIELD(file_sync);
    FIELD(read_bytes); FIELD(write_bytes);
    FIELD(wall_step_s); FIELD(wall_period_ms);
    FIELD(on_ms); FIELD(period_ms);
    FIELD(seed);
}

/* Reads the environment variables when the library is loaded. */
__attribute__((constructor)) static void initialize(void) {
    start_ms = monotonic_ms();
    switch_path = getenv("FAULTS_SWITCH");
    const char *text = getenv("FAULTS");
    char copy[1024], *rest = NULL;
    snprintf(copy, sizeof copy, "%s", text ? text : "");
    for (char *pair = strtok_r(copy, ",", &rest); pair; pair = strtok_r(NULL, ",", &rest)) {
        char *equals = strchr(pair, '=');
        if (!equals) continue;
        *equals = 0;
        set(pair, atof(equals + 1));
    }
    random_state = ((uint64_t)settings.seed + 1) * SEED_MULTIPLIER;
}

/* Whether faults are injected now, by the switch file and by the period. */
static int is_active(void) {
    int64_t now = monotonic_ms();
    if (switch_path && now - switch_checked_ms >= SWITCH_CHECK_INTERVAL_MS) {
        switch_checked_ms = now;
        is_switched_on = access(switch_path, F_OK) == 0;
    }
    if (switch_path && !is_switched_on) return 0;
    if (settings.period_ms <= 0) return 1;
    return (double)((now - start_ms) % (int64_t)settings.period_ms) < settings.on_ms;
}

/* Returns a random number in 0..1 (xorshift). */
static double random_fraction(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (double)(random_state >> 11) / RANDOM_RANGE;
}

/* Decides at random whether a fault of this probability is injected; leaves `errno` unchanged. */
static int inject(double probability) {
    int saved = errno;
    int is_injected = probability > 0 && is_active() && random_fraction() < probability;
    errno = saved;
    return is_injected;
}

/* Leaves `errno` unchanged. */
static int is_socket(int fd) {
    int saved = errno;
    struct stat status;
    int result = fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
    errno = saved;
    return result;
}

/* Whether a descriptor above the standard streams is a regular file. */
static int is_regular_file(int fd) {
    struct stat status;
    return fd > 2 && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

/* Sets `errno` and returns the result of a call that failed. */
static int fail_with(int code) {
    errno = code;
    return -1;
}

/* Returns one of these error codes at random. */
static int random_code(const int *codes, int count) {
    return codes[(int)(random_fraction() * count) % count];
}

static size_t min_length(size_t length, double max) {
    size_t limit = (size_t)max;
    return length > limit ? limit : length;
}

/* Injects the faults of a read: returns from the calling function with an error, or shortens `length`. */
#define READ_FAULTS(fd, length) \
    if (is_socket(fd)) { \
        if (inject(settings.interrupt)) return fail_with(EINTR); \
        if (inject(settings.broken)) return fail_with(random_fraction() < 0.5 ? ETIMEDOUT : EHOSTUNREACH); \
        if (inject(settings.short_read)) length = min_length(length, settings.read_bytes); \
    }

/* Injects the faults of a write, likewise. */
#define WRITE_FAULTS(fd, length) \
    if (is_socket(fd)) { \
        if (inject(settings.interrupt)) return fail_with(EINTR); \
        if (inject(settings.short_write)) length = min_length(length, settings.write_bytes); \
    } else if (settings.file_write > 0 && is_regular_file(fd) && inject(settings.file_write)) { \
        return fail_with(random_fraction() < 0.5 ? ENOSPC : EIO); \
    }

ssize_t read(int fd, void *to, size_t length) {
    REAL(read);
    READ_FAULTS(fd, length);
    return real(fd, to, length);
}

ssize_t recv(int fd, void *to, size_t length, int flags) {
    REAL(recv);
    if (!(flags & MSG_PEEK)) { READ_FAULTS(fd, length); }
    return real(fd, to, length, flags);
}

ssize_t readv(int fd, const struct iovec *buffers, int count) {
    REAL(readv);
    if (is_socket(fd) && inject(settings.interrupt)) return fail_with(EINTR);
    return real(fd, buffers, count);
}

ssize_t write(int fd, const void *from, size_t length) {
    REAL(write);
    WRITE_FAULTS(fd, length);
    return real(fd, from, length);
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    REAL(send);
    WRITE_FAULTS(fd, length);
    return real(fd, from, length, flags);
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    REAL(writev);
    if (is_socket(fd) && inject(settings.interrupt)) return fail_with(EINTR);
    return real(fd, buffers, count);
}

int accept4(int fd, struct sockaddr *from, socklen_t *length, int flags) {
    REAL(accept4);
    static const int codes[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR};
    if (inject(settings.accept)) return fail_with(random_code(codes, 5));
    return real(fd, from, length, flags);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    REAL(connect);
    static const int codes[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR};
    if (inject(settings.connect)) return fail_with(random_code(codes, 4));
    return real(fd, to, length);
}

int socket(int family, int type, int protocol) {
    REAL(socket);
    static const int codes[] = {ENFILE, ENOBUFS, EMFILE};
    if (inject(settings.socket)) return fail_with(random_code(codes, 3));
    return real(family, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(bind);
    if (inject(settings.bind)) return fail_with(ENOBUFS);
    return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    if (inject(settings.wait_interrupt)) return fail_with(EINTR);
    return real(fd, events, max_events, timeout);
}

/* Returns the error code with which opening this file fails; 0 if no fault is injected. */
static int open_fault(const char *path) {
    static const int codes[] = {ENFILE, EIO};
    /* Shared libraries and system files always open. */
    int is_system = !strncmp(path, "/proc", 5) || !strncmp(path, "/etc", 4)
        || !strncmp(path, "/usr", 4) || !strncmp(path, "/lib", 4);
    return !is_system && inject(settings.open) ? random_code(codes, 2) : 0;
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    int code = open_fault(path);
    return code ? fail_with(code) : real(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    REAL(open);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    int code = open_fault(path);
    return code ? fail_with(code) : real(path, flags, mode);
}

int fsync(int fd) {
    REAL(fsync);
    if (inject(settings.file_sync)) return fail_with(EIO);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    if (inject(settings.file_sync)) return fail_with(EIO);
    return real(fd);
}

/* Adds an offset to the wall clock that is drawn again each `wall_period_ms`, within `wall_step_s` either way. */
int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (result || clock != CLOCK_REALTIME || settings.wall_step_s <= 0 || !is_active()) return result;
    int64_t step = settings.wall_period_ms > 0 ? (monotonic_ms() - start_ms) / (int64_t)settings.wall_period_ms : 0;
    uint64_t mixed = ((uint64_t)settings.seed + 1 + (uint64_t)step) * SEED_MULTIPLIER;
    mixed ^= mixed >> 29;
    double offset = (double)(mixed >> 11) / RANDOM_RANGE * 2 - 1;
    now->tv_sec += (time_t)(offset * settings.wall_step_s);
    return 0;
}
