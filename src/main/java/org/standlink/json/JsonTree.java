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

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.NumericNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads and writes JSON trees by the streaming parser and generator alone. The results are those of
 * an {@code ObjectMapper}, whose creation and first use would delay every start.
 *
 * <p>{@code JsonTree} is thread-safe and immutable.
 */
public final class JsonTree {

    private static final JsonFactory FACTORY = new JsonFactory();

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode newObject() {
        return NODES.objectNode();
    }

    /**
     * Creates an empty array.
     *
     * @return the array
     */
    public static ArrayNode newArray() {
        return NODES.arrayNode();
    }

    /**
     * Reads the first value; of equal keys the last one counts.
     *
     * @param bytes the JSON text
     * @return the value, a missing node if there is none
     * @throws IOException if the text is malformed
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            return readValue(parser);
        }
    }

    /**
     * Reads the only value, in which the keys of an object differ.
     *
     * @param text the JSON text
     * @return the value, a missing node if there is none; null if further values follow it
     * @throws IOException if the text is malformed or keys of an object are equal
     */
    public static JsonNode readOnlyValue(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION.mappedFeature());
            JsonNode value = readValue(parser);
            return parser.nextToken() == null ? value : null;
        }
    }

    /**
     * Writes a value.
     *
     * @param value the value
     * @return the JSON text
     * @throws IOException if the value contains a node that JSON has no form for
     */
    public static byte[] write(JsonNode value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            writeValue(generator, value);
        }
        return bytes.toByteArray();
    }

    // -----------------------------------------------------------------------
    /** Without recursion, since a sender decides how deeply the value is nested. */
    private static JsonNode readValue(JsonParser parser) throws IOException {
        Deque<ContainerNode<?>> open = new ArrayDeque<>();
        for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
            JsonNode complete = null;
            if (token.isStructEnd()) {
                complete = open.pop();
            } else if (token != JsonToken.FIELD_NAME) {
                JsonNode node = token.isStructStart() ? startOf(token) : scalarOf(parser, token);
                add(open.peek(), parser, node);
                if (node instanceof ContainerNode<?> container) {
                    open.push(container);
                } else {
                    complete = node;
                }
            }
            if (complete != null && open.isEmpty()) {
                return complete;
            }
        }
        return MissingNode.getInstance();
    }

    private static void add(ContainerNode<?> parent, JsonParser parser, JsonNode node)
            throws IOException {
        if (parent instanceof ObjectNode object) {
            object.set(parser.currentName(), node);
        } else if (parent instanceof ArrayNode array) {
            array.add(node);
        }
    }

    private static JsonNode startOf(JsonToken token) {
        return token == JsonToken.START_OBJECT ? newObject() : newArray();
    }

    private static JsonNode scalarOf(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integerOf(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static NumericNode integerOf(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> (NumericNode) NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    // -----------------------------------------------------------------------
    private static void writeValue(JsonGenerator generator, JsonNode value) throws IOException {
        switch (value.getNodeType()) {
            case OBJECT -> writeObject(generator, value);
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : value) {
                    writeValue(generator, element);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(value.textValue());
            case NUMBER -> writeNumber(generator, value);
            case BOOLEAN -> generator.writeBoolean(value.booleanValue());
            case NULL -> generator.writeNull();
            default -> throw new IOException("a node of type " + value.getNodeType());
        }
    }

    private static void writeObject(JsonGenerator generator, JsonNode object) throws IOException {
        generator.writeStartObject();
        for (Iterator<Map.Entry<String, JsonNode>> fields = object.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            generator.writeFieldName(field.getKey());
            writeValue(generator, field.getValue());
        }
        generator.writeEndObject();
    }

    private static void writeNumber(JsonGenerator generator, JsonNode number) throws IOException {
        switch (number.numberType()) {
            case INT -> generator.writeNumber(number.intValue());
            case LONG -> generator.writeNumber(number.longValue());
            case BIG_INTEGER -> generator.writeNumber(number.bigIntegerValue());
            case FLOAT -> generator.writeNumber(number.floatValue());
            case DOUBLE -> generator.writeNumber(number.doubleValue());
            default -> generator.writeNumber(number.decimalValue());
        }
    }
}
