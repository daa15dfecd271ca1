package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;

/** The content of one response that is used as a whole. */
public final class ResponseBuffer {
    private static final int MAX_BYTES = 8 << 20;

    private final ByteArrayOutputStream mContent = new ByteArrayOutputStream();
    private final ResponseMemory.Account mAccount;

    /**
     * Creates an empty buffer.
     *
     * @param memory limits the buffers of all responses
     */
    public ResponseBuffer(ResponseMemory memory) {
        mAccount = memory.open(MAX_BYTES);
    }

    /**
     * Appends content.
     *
     * @param content the content; not released
     * @return false if the response is too large, in which case nothing is appended
     */
    public boolean append(ByteBuf content) {
        if (!mAccount.resize(mContent.size() + content.readableBytes())) {
            return false;
        }
        mContent.writeBytes(ByteBufUtil.getBytes(content));
        return true;
    }

    /** Returns the content. */
    public byte[] toByteArray() {
        return mContent.toByteArray();
    }

    /** Gives the memory back to the limit; to be called when the content is no longer needed. */
    public void release() {
        mAccount.release();
    }
}
