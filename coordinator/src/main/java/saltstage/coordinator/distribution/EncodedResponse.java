package saltstage.coordinator.distribution;

/**
 * A response as it is sent.
 *
 * @param status the HTTP status code
 * @param body JSON in UTF-8; the array is shared between followers and must not be modified
 */
public record EncodedResponse(int status, byte[] body) {}
