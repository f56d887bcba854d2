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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import org.standlink.StandlinkException;

/**
 * One JSON object that is being read with every key checked.
 *
 * <p>Each getter notes the key as known and adds a fault when the value is missing, of the wrong
 * type or out of range; it then returns a harmless stand-in so that reading goes on. After the last
 * getter, {@link #reportUnknownKeys()} reports the keys that nobody asked for.
 *
 * <p>{@code JsonSection} is mutable and not thread-safe.
 */
public final class JsonSection {

    /** The parser, which refuses a key given twice and text after the end. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** The object. */
    private final JsonNode node;

    /** Where the object is, empty for the whole file. */
    private final String path;

    /** Where faults go. */
    private final ValidationErrors faults;

    /** The keys that were asked for. */
    private final Set<String> known = new HashSet<>();

    /**
     * Constructor.
     *
     * @param node the object
     * @param path where the object is
     * @param faults where faults go
     */
    private JsonSection(JsonNode node, String path, ValidationErrors faults) {
        this.node = node;
        this.path = path;
        this.faults = faults;
    }

    /**
     * Parses a text.
     *
     * @param text the JSON text
     * @param faults where faults go
     * @return the section, empty if the text is not a JSON object
     */
    public static JsonSection parse(String text, ValidationErrors faults) {
        try {
            return of(MAPPER.readTree(text), "", faults);
        } catch (JsonProcessingException malformed) {
            faults.add("$", "not JSON: " + malformed.getOriginalMessage(), "mend the syntax");
            return new JsonSection(MAPPER.createObjectNode(), "", faults);
        }
    }

    /**
     * Makes a section of a node.
     *
     * @param node the node
     * @param path where it is
     * @param faults where faults go
     * @return the section, empty if the node is not an object
     */
    private static JsonSection of(JsonNode node, String path, ValidationErrors faults) {
        if (node.isObject()) {
            return new JsonSection(node, path, faults);
        }
        faults.add(path.isEmpty() ? "$" : path, "not an object", "write {...} here");
        return new JsonSection(MAPPER.createObjectNode(), path, faults);
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
     * Gets a text that must be there.
     *
     * @param key the key
     * @return the text, empty if there is a fault
     */
    public String requiredText(String key) {
        JsonNode value = required(key, "a text");
        return value == null ? "" : textOf(key, value, "");
    }

    /**
     * Gets a text that may be left out.
     *
     * @param key the key
     * @param otherwise the text if left out
     * @return the text
     */
    public String text(String key, String otherwise) {
        known.add(key);
        return has(key) ? textOf(key, node.get(key), otherwise) : otherwise;
    }

    /**
     * Gets a typed value written as text that must be there.
     *
     * @param <T> the type of the value
     * @param key the key
     * @param parser makes the value of the text
     * @return the value, null if there is a fault
     */
    public <T> T requiredValue(String key, Function<String, T> parser) {
        JsonNode value = required(key, "a text");
        return value == null ? null : parse(pathOf(key), textOf(key, value, null), parser);
    }

    /**
     * Gets a typed value written as text that may be left out.
     *
     * @param <T> the type of the value
     * @param key the key
     * @param parser makes the value of the text
     * @param otherwise the value if left out
     * @return the value
     */
    public <T> T value(String key, Function<String, T> parser, T otherwise) {
        known.add(key);
        return has(key) ? requiredValue(key, parser) : otherwise;
    }

    /**
     * Gets a constant of an enumeration, written in lower case.
     *
     * @param <E> the enumeration
     * @param key the key
     * @param type the class of the enumeration
     * @param otherwise the constant if left out
     * @return the constant
     */
    public <E extends Enum<E>> E enumValue(String key, Class<E> type, E otherwise) {
        String text = text(key, otherwise.name().toLowerCase(Locale.ROOT));
        List<String> allowed = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String name = constant.name().toLowerCase(Locale.ROOT);
            if (name.equals(text)) {
                return constant;
            }
            allowed.add(name);
        }
        faults.add(pathOf(key), "'" + text + "' is not known", "use one of " + allowed);
        return otherwise;
    }

    /**
     * Gets a whole number that must be there.
     *
     * @param key the key
     * @param low the least allowed
     * @param high the greatest allowed
     * @return the number, {@code low} if there is a fault
     */
    public long requiredInteger(String key, long low, long high) {
        JsonNode value = required(key, "a whole number from " + low + " to " + high);
        return value == null ? low : integerOf(key, value, low, high);
    }

    /**
     * Gets a whole number that may be left out.
     *
     * @param key the key
     * @param otherwise the number if left out
     * @param low the least allowed
     * @param high the greatest allowed
     * @return the number
     */
    public long integer(String key, long otherwise, long low, long high) {
        known.add(key);
        return has(key) ? integerOf(key, node.get(key), low, high) : otherwise;
    }

    /**
     * Gets a number that may be left out.
     *
     * @param key the key
     * @param otherwise the number if left out
     * @param low the least allowed
     * @param high the greatest allowed
     * @return the number
     */
    public double decimal(String key, double otherwise, double low, double high) {
        known.add(key);
        if (!has(key)) {
            return otherwise;
        }
        JsonNode value = node.get(key);
        if (!value.isNumber() || value.asDouble() < low || value.asDouble() > high) {
            faults.add(
                    pathOf(key), value + " is wrong", "use a number from " + low + " to " + high);
            return low;
        }
        return value.asDouble();
    }

    /**
     * Gets a truth value that may be left out.
     *
     * @param key the key
     * @param otherwise the value if left out
     * @return the value
     */
    public boolean flag(String key, boolean otherwise) {
        known.add(key);
        if (!has(key)) {
            return otherwise;
        }
        if (!node.get(key).isBoolean()) {
            faults.add(pathOf(key), node.get(key) + " is wrong", "use true or false");
            return otherwise;
        }
        return node.get(key).asBoolean();
    }

    /**
     * Gets an object, empty if left out.
     *
     * @param key the key
     * @return the section
     */
    public JsonSection section(String key) {
        known.add(key);
        JsonNode value = has(key) ? node.get(key) : MAPPER.createObjectNode();
        return of(value, pathOf(key), faults);
    }

    /**
     * Gets an array of objects, empty if left out.
     *
     * @param key the key
     * @return the sections in order
     */
    public List<JsonSection> sections(String key) {
        List<JsonSection> result = new ArrayList<>();
        int index = 0;
        for (JsonNode element : array(key)) {
            result.add(of(element, pathOf(key) + "[" + index++ + "]", faults));
        }
        return result;
    }

    /**
     * Gets an array of typed values written as texts, empty if left out.
     *
     * @param <T> the type of the values
     * @param key the key
     * @param parser makes a value of a text
     * @return the values in order, without the faulty ones
     */
    public <T> List<T> values(String key, Function<String, T> parser) {
        List<T> result = new ArrayList<>();
        int index = 0;
        for (JsonNode element : array(key)) {
            String where = pathOf(key) + "[" + index++ + "]";
            T value = parse(where, element.isTextual() ? element.asText() : null, parser);
            if (value != null) {
                result.add(value);
            }
        }
        return result;
    }

    /** Reports the keys that nobody asked for. */
    public void reportUnknownKeys() {
        for (Iterator<String> keys = node.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            if (!known.contains(key)) {
                faults.add(pathOf(key), "unknown key", "remove it or use one of " + sorted(known));
            }
        }
    }

    // -----------------------------------------------------------------------
    private static List<String> sorted(Set<String> keys) {
        return keys.stream().sorted().toList();
    }

    private JsonNode required(String key, String wanted) {
        known.add(key);
        if (!has(key)) {
            faults.add(pathOf(key), "missing", "give " + wanted);
            return null;
        }
        return node.get(key);
    }

    private Iterable<JsonNode> array(String key) {
        known.add(key);
        if (has(key) && !node.get(key).isArray()) {
            faults.add(pathOf(key), node.get(key) + " is not an array", "write [...] here");
            return MAPPER.createArrayNode();
        }
        return has(key) ? node.get(key) : MAPPER.createArrayNode();
    }

    private String textOf(String key, JsonNode value, String otherwise) {
        if (!value.isTextual()) {
            faults.add(pathOf(key), value + " is not a text", "write \"...\" here");
            return otherwise;
        }
        return value.asText();
    }

    private long integerOf(String key, JsonNode value, long low, long high) {
        if (!value.isIntegralNumber() || value.asLong() < low || value.asLong() > high) {
            faults.add(
                    pathOf(key),
                    value + " is wrong",
                    "use a whole number from " + low + " to " + high);
            return low;
        }
        return value.asLong();
    }

    private <T> T parse(String where, String text, Function<String, T> parser) {
        if (text == null) {
            faults.add(where, "not a text", "write \"...\" here");
            return null;
        }
        try {
            return parser.apply(text);
        } catch (StandlinkException wrong) {
            faults.add(where, "'" + text + "' is wrong", wrong.getRemedy());
            return null;
        }
    }
}
