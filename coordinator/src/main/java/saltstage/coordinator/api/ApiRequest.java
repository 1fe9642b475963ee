package saltstage.coordinator.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.group.GroupCodec;

/**
 * One request, with accessors that check what they return. Each of them throws {@link
 * BadRequestException} with the name of the parameter or field that is wrong.
 */
final class ApiRequest {
    private final String method;
    private final String path;
    private final Map<String, List<String>> parameters;
    private final String content;

    private ApiRequest(
            String method, String path, Map<String, List<String>> parameters, String content) {
        this.method = method;
        this.path = path;
        this.parameters = parameters;
        this.content = content;
    }

    /** Parses the request line; the body is parsed only by {@link #body}. */
    static ApiRequest parse(FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            throw new BadRequestException("not HTTP");
        }
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        HttpMethod method = request.method();
        if (!method.equals(HttpMethod.POST) && !method.equals(HttpMethod.GET)) {
            throw new BadRequestException("GET and POST are taken");
        }
        return new ApiRequest(
                method.name(),
                uri.path(),
                uri.parameters(),
                request.content().toString(StandardCharsets.UTF_8));
    }

    /**
     * The key under which a route is registered: method and path, such as {@code GET /v1/leases}.
     */
    String routeKey() {
        return method + " " + path;
    }

    /** The first value of a query parameter, or the default if it is absent. */
    String parameter(String name, String defaultValue) {
        return parameters.getOrDefault(name, List.of(defaultValue)).get(0);
    }

    /**
     * A query parameter that is a whole number from 0 to {@code max}, or the default if it is
     * absent.
     */
    long integerParameter(String name, long defaultValue, long max) {
        String text = parameter(name, Long.toString(defaultValue));
        if (!text.matches("\\d{1,15}") || Long.parseLong(text) > max) {
            throw new BadRequestException("'" + name + "' takes a whole number up to " + max);
        }
        return Long.parseLong(text);
    }

    /** The body, which must be a JSON object. */
    JsonNode body() {
        try {
            JsonNode parsed = GroupCodec.jsonMapper().readTree(content);
            if (parsed == null || !parsed.isObject()) {
                throw new BadRequestException("the body is no JSON object");
            }
            return parsed;
        } catch (JsonProcessingException malformed) {
            throw new BadRequestException("the body is no JSON: " + malformed.getOriginalMessage());
        }
    }

    /** A field of the body that must be a non-empty string. */
    static String requiredString(JsonNode body, String name) {
        JsonNode value = body.get(name);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            throw new BadRequestException("'" + name + "' takes a text");
        }
        return value.textValue();
    }

    /** The first line of a JSON parser's error message, for use in an error response. */
    static String firstErrorLine(JsonProcessingException malformed) {
        return malformed.getOriginalMessage().lines().findFirst().orElse("?");
    }
}
