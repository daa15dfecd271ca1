package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * The content of one response that is used as a whole.
 *
 * <p>It lies in blocks, so that what is allocated, which the limit counts, stays close to what was
 * received and never has to be copied to grow.
 */
public final class ResponseBuffer {
    private static final int MAX_BYTES = 8 << 20;
    private static final int MIN_BLOCK_BYTES = 1 << 10;
    private static final int MAX_BLOCK_BYTES = 64 << 10;

    private final List<byte[]> mBlocks = new ArrayList<>();
    private final ResponseMemory.Account mAccount;
    private int mAllocatedBytes;
    private int mContentBytes;

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
     * @return false if the response is too large, in which case it can't be used
     */
    public boolean append(ByteBuf content) {
        int position = content.readerIndex();
        while (position < content.writerIndex()) {
            if (mContentBytes == mAllocatedBytes && !allocateBlock()) {
                return false;
            }
            byte[] block = mBlocks.getLast();
            int free = mAllocatedBytes - mContentBytes;
            int length = Math.min(free, content.writerIndex() - position);
            content.getBytes(position, block, block.length - free, length);
            position += length;
            mContentBytes += length;
        }
        return true;
    }

    private boolean allocateBlock() {
        int bytes = Math.clamp(mAllocatedBytes, MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        if (!mAccount.resize(mAllocatedBytes + bytes)) {
            return false;
        }
        mBlocks.add(new byte[bytes]);
        mAllocatedBytes += bytes;
        return true;
    }

    /** Returns a copy of the content. */
    public byte[] toByteArray() {
        byte[] content = new byte[mContentBytes];
        int position = 0;
        for (byte[] block : mBlocks) {
            int length = Math.min(block.length, mContentBytes - position);
            System.arraycopy(block, 0, content, position, length);
            position += length;
        }
        return content;
    }

    /** Drops the content and gives its memory back to the limit. */
    public void release() {
        mBlocks.clear();
        mAllocatedBytes = 0;
        mContentBytes = 0;
        mAccount.release();
    }
}
