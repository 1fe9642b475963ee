package saltstage.session;

/**
 * The attributes of a request, independent of the protocol.
 *
 * <p>The client's request id is unique among the open requests. The service class and the tenant
 * are indexes into the settings. The key identifies the flow; group is null and the load hint is
 * negative if not given. Reconnecting means that the client was moved or disconnected before.
 */
public record RequestAttributes(
        String clientRequestId,
        int serviceClass,
        int tenant,
        String key,
        String group,
        long loadHint,
        boolean reconnecting) {}
