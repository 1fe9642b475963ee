/*
 * The platform's part in an upgrade: holds the clients' listening socket and lets every process inherit it as
 * descriptor 0. Usage: listen0 COMMAND [ARG ...]; the port is in LISTEN_PORT of the command's environment.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int main(int argc, char **argv) {
    if (argc < 2) {
        return 2;
    }
    struct sockaddr_in at;
    memset(&at, 0, sizeof at);
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    int s = socket(AF_INET, SOCK_STREAM, 0);
    if (s < 0 || bind(s, (struct sockaddr *)&at, sizeof at) != 0 || listen(s, 1024) != 0
        || getsockname(s, (struct sockaddr *)&at, &size) != 0) {
        perror("listen0");
        return 2;
    }
    char port[16];
    snprintf(port, sizeof port, "%d", ntohs(at.sin_port));
    setenv("LISTEN_PORT", port, 1);
    if (dup2(s, 0) < 0) {
        perror("listen0");
        return 2;
    }
    if (s != 0) {
        close(s);
    }
    execvp(argv[1], argv + 1);
    perror("listen0");
    return 2;
}
