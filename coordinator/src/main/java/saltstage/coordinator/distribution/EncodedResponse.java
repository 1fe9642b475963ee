package saltstage.coordinator.distribution;

/**
 * An answer as it goes out.
 *
 * @param status the status code of HTTP
 * @param body JSON in UTF-8; shared between followers, so nobody may write to it
 */
public record EncodedResponse(int status, byte[] body) {}
