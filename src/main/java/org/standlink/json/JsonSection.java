/*
 *  Copyright 2026 the standlink authors
 *
 *  Licensed under the Apache License, Version 2.0 (the "License");
 *  you may not use this file except in compliance with the License.
 *  You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 *  Unless required by applicable law or agreed to in writing, software
 *  distributed under the License is distributed on an "AS IS" BASIS,
 *  WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 *  See the License for the specific language governing permissions and
 *  limitations under the License.
 */
package org.standlink.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import org.standlink.StandlinkException;

/**
 * Reads a JSON object and checks every key.
 *
 * <p>Each getter registers its key and adds an error if the value is missing, of the wrong type or
 * out of range; it then returns a substitute value so that further errors are found. After the last
 * getter, {@link #reportUnknownKeys()} reports the keys that were not requested.
 *
 * <p>{@code JsonSection} is mutable and not thread-safe.
 */
public final class JsonSection {

    /** Describes what is wrong with a text; created when first used, since few texts are wrong. */
    private static final class ErrorParser {

        /** The parser, which rejects duplicate keys and trailing text. */
        private static final ObjectMapper MAPPER =
                new ObjectMapper()
                        .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    private final JsonNode node;

    /** The path of the object, empty for the whole file. */
    private final String path;

    private final ValidationErrors errors;

    private final Set<String> requestedKeys = new HashSet<>();

    private JsonSection(JsonNode node, String path, ValidationErrors errors) {
        this.node = node;
        this.path = path;
        this.errors = errors;
    }

    /**
     * Parses a JSON text.
     *
     * @param text the JSON text
     * @param errors collects the errors
     * @return the section, empty if the text is not a JSON object
     */
    public static JsonSection parse(String text, ValidationErrors errors) {
        try {
            JsonNode value = readOnlyValue(text);
            return of(value == null ? ErrorParser.MAPPER.readTree(text) : value, "", errors);
        } catch (JsonProcessingException e) {
            errors.add("$", "not JSON: " + e.getOriginalMessage(), "correct the syntax");
            return new JsonSection(JsonTree.newObject(), "", errors);
        }
    }

    /**
     * Creates a section of a node.
     *
     * @param node the node
     * @param path its path
     * @param errors collects the errors
     * @return the section, empty if the node is not an object
     */
    private static JsonSection of(JsonNode node, String path, ValidationErrors errors) {
        if (node.isObject()) {
            return new JsonSection(node, path, errors);
        }
        errors.add(path.isEmpty() ? "$" : path, "not an object", "write {...} here");
        return new JsonSection(JsonTree.newObject(), path, errors);
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the path of a key.
     *
     * @param key the key
     * @return the path from the top of the file
     */
    public String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /**
     * Checks whether a key is present.
     *
     * @param key the key
     * @return true if present
     */
    public boolean has(String key) {
        return node.hasNonNull(key);
    }

    /**
     * Gets a required string.
     *
     * @param key the key
     * @return the string, empty if it is missing or invalid
     */
    public String requiredText(String key) {
        JsonNode value = required(key, "a string");
        return value == null ? "" : textOf(key, value, "");
    }

    /**
     * Gets an optional string.
     *
     * @param key the key
     * @param defaultValue the string if missing or invalid
     * @return the string
     */
    public String text(String key, String defaultValue) {
        requestedKeys.add(key);
        return has(key) ? textOf(key, node.get(key), defaultValue) : defaultValue;
    }

    /**
     * Gets a required typed value, which is written as a string.
     *
     * @param <T> the type of the value
     * @param key the key
     * @param parser parses the string
     * @return the value, null if it is missing or invalid
     */
    public <T> T requiredValue(String key, Function<String, T> parser) {
        JsonNode value = required(key, "a string");
        return value == null ? null : parse(pathOf(key), textOf(key, value, null), parser);
    }

    /**
     * Gets an optional typed value, which is written as a string.
     *
     * @param <T> the type of the value
     * @param key the key
     * @param parser parses the string
     * @param defaultValue the value if missing
     * @return the value, null if it is invalid
     */
    public <T> T value(String key, Function<String, T> parser, T defaultValue) {
        requestedKeys.add(key);
        return has(key) ? requiredValue(key, parser) : defaultValue;
    }

    /**
     * Gets an optional enum constant, which is written in lower case.
     *
     * @param <E> the enum
     * @param key the key
     * @param type the class of the enum
     * @param defaultValue the constant if missing or invalid
     * @return the constant
     */
    public <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue) {
        String text = text(key, defaultValue.name().toLowerCase(Locale.ROOT));
        List<String> allowed = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String name = constant.name().toLowerCase(Locale.ROOT);
            if (name.equals(text)) {
                return constant;
            }
            allowed.add(name);
        }
        errors.add(pathOf(key), "'" + text + "' is not known", "use one of " + allowed);
        return defaultValue;
    }

    /**
     * Gets a required integer.
     *
     * @param key the key
     * @param min the minimum
     * @param max the maximum
     * @return the number, {@code min} if it is missing or invalid
     */
    public long requiredInteger(String key, long min, long max) {
        JsonNode value = required(key, "a whole number from " + min + " to " + max);
        return value == null ? min : integerOf(key, value, min, max);
    }

    /**
     * Gets an optional integer.
     *
     * @param key the key
     * @param defaultValue the number if missing
     * @param min the minimum
     * @param max the maximum
     * @return the number, {@code min} if it is invalid
     */
    public long integer(String key, long defaultValue, long min, long max) {
        requestedKeys.add(key);
        return has(key) ? integerOf(key, node.get(key), min, max) : defaultValue;
    }

    /**
     * Gets an optional number.
     *
     * @param key the key
     * @param defaultValue the number if missing
     * @param min the minimum
     * @param max the maximum
     * @return the number, {@code min} if it is invalid
     */
    public double decimal(String key, double defaultValue, double min, double max) {
        requestedKeys.add(key);
        if (!has(key)) {
            return defaultValue;
        }
        JsonNode value = node.get(key);
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            errors.add(pathOf(key), value + " is wrong", "use a number from " + min + " to " + max);
            return min;
        }
        return value.asDouble();
    }

    /**
     * Gets an optional boolean.
     *
     * @param key the key
     * @param defaultValue the value if missing or invalid
     * @return the value
     */
    public boolean flag(String key, boolean defaultValue) {
        requestedKeys.add(key);
        if (!has(key)) {
            return defaultValue;
        }
        if (!node.get(key).isBoolean()) {
            errors.add(pathOf(key), node.get(key) + " is wrong", "use true or false");
            return defaultValue;
        }
        return node.get(key).asBoolean();
    }

    /**
     * Gets an optional object, empty if it is missing or invalid.
     *
     * @param key the key
     * @return the section
     */
    public JsonSection section(String key) {
        requestedKeys.add(key);
        JsonNode value = has(key) ? node.get(key) : JsonTree.newObject();
        return of(value, pathOf(key), errors);
    }

    /**
     * Gets an optional array of objects, empty if it is missing or invalid.
     *
     * @param key the key
     * @return the sections in order
     */
    public List<JsonSection> sections(String key) {
        List<JsonSection> result = new ArrayList<>();
        int index = 0;
        for (JsonNode element : array(key)) {
            result.add(of(element, pathOf(key) + "[" + index++ + "]", errors));
        }
        return result;
    }

    /**
     * Gets an optional array of typed values, which are written as strings; empty if it is missing
     * or invalid.
     *
     * @param <T> the type of the values
     * @param key the key
     * @param parser parses a string
     * @return the values in order, without the invalid ones
     */
    public <T> List<T> values(String key, Function<String, T> parser) {
        List<T> result = new ArrayList<>();
        int index = 0;
        for (JsonNode element : array(key)) {
            String valuePath = pathOf(key) + "[" + index++ + "]";
            T value = parse(valuePath, element.isTextual() ? element.asText() : null, parser);
            if (value != null) {
                result.add(value);
            }
        }
        return result;
    }

    /** Adds an error for each key that was not requested. */
    public void reportUnknownKeys() {
        for (Iterator<String> keys = node.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            if (!requestedKeys.contains(key)) {
                errors.add(
                        pathOf(key),
                        "unknown key",
                        "remove it or use one of " + sorted(requestedKeys));
            }
        }
    }

    // -----------------------------------------------------------------------
    /** Returns null if the text is not exactly one value. */
    private static JsonNode readOnlyValue(String text) {
        try {
            return JsonTree.readOnlyValue(text);
        } catch (IOException malformed) {
            return null;
        }
    }

    private static List<String> sorted(Set<String> keys) {
        return keys.stream().sorted().toList();
    }

    private JsonNode required(String key, String expected) {
        requestedKeys.add(key);
        if (!has(key)) {
            errors.add(pathOf(key), "missing", "give " + expected);
            return null;
        }
        return node.get(key);
    }

    private Iterable<JsonNode> array(String key) {
        requestedKeys.add(key);
        if (has(key) && !node.get(key).isArray()) {
            errors.add(pathOf(key), node.get(key) + " is not an array", "write [...] here");
            return JsonTree.newArray();
        }
        return has(key) ? node.get(key) : JsonTree.newArray();
    }

    private String textOf(String key, JsonNode value, String defaultValue) {
        if (!value.isTextual()) {
            errors.add(pathOf(key), value + " is not a string", "write \"...\" here");
            return defaultValue;
        }
        return value.asText();
    }

    private long integerOf(String key, JsonNode value, long min, long max) {
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            errors.add(
                    pathOf(key),
                    value + " is wrong",
                    "use a whole number from " + min + " to " + max);
            return min;
        }
        return value.asLong();
    }

    private <T> T parse(String valuePath, String text, Function<String, T> parser) {
        if (text == null) {
            errors.add(valuePath, "not a string", "write \"...\" here");
            return null;
        }
        try {
            return parser.apply(text);
        } catch (StandlinkException e) {
            errors.add(valuePath, "'" + text + "' is wrong", e.getRemedy());
            return null;
        }
    }
}
