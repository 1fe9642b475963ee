package saltstage.session;

/**
 * What a request asks for, in no protocol's words: its name (unique among the open ones), the
 * places of its class and tenant in the settings, the flow's key, the group and the guess at its
 * load where given (null and negative where not), and whether its client was moved or broken off
 * before.
 */
public record RequestAttributes(
        String clientRequestId,
        int serviceClass,
        int tenant,
        String key,
        String group,
        long loadHint,
        boolean reconnecting) {}
