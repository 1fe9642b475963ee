package saltstage.coordinator.api;

import com.fasterxml.jackson.annotation.JsonRawValue;
import com.fasterxml.jackson.annotation.JsonValue;

/** A response body that is already JSON text. */
record RawJson(String text) {
    /** The text, written as it is. */
    @JsonValue
    @JsonRawValue
    String json() {
        return text;
    }
}
