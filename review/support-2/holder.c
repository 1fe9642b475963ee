/* Holds a listening socket as the platform does: binds a free port of 127.0.0.1, puts the listener at descriptor 9,
   names its port in HELD_PORT and runs the given command. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int main(int argc, char **argv) {
    struct sockaddr_in address;
    socklen_t length = sizeof address;
    char port[16];
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    memset(&address, 0, sizeof address);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (argc < 2 || listener < 0 || bind(listener, (struct sockaddr *)&address, length) != 0
        || listen(listener, 512) != 0 || getsockname(listener, (struct sockaddr *)&address, &length) != 0
        || dup2(listener, 9) < 0) {
        perror("holder");
        return 2;
    }
    close(listener);
    snprintf(port, sizeof port, "%d", ntohs(address.sin_port));
    setenv("HELD_PORT", port, 1);
    execvp(argv[1], argv + 1);
    perror("holder");
    return 2;
}
