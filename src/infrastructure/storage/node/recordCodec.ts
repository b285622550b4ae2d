/**
 * Encodes and decodes the records of segment files. A record is a header of 16 bytes and a CBOR
 * body. The header contains the length of the body (4 bytes, big endian), the checksum of the body
 * (8 bytes) and the checksum of the preceding header bytes (4 bytes); without the latter, a corrupt
 * length would make all following records unreadable.
 */
import { decode, encode } from 'cbor-x';
import { err, ok, type Result } from 'neverthrow';
import xxhash from 'xxhash-wasm';
import { createStorageError, StorageErrorKind, type StorageError } from '../common/storageError.js';

const { h32Raw, h64Raw } = await xxhash();

const bodyChecksumOffset = 4;
const headerChecksumOffset = 12;
const headerBytes = 16;

/** Encodes a value as a record. */
export const encodeRecord = (value: unknown): Buffer => {
  const body = encode(value);
  const record = Buffer.alloc(headerBytes + body.length);
  record.writeUInt32BE(body.length, 0);
  record.writeBigUInt64BE(h64Raw(body), bodyChecksumOffset);
  record.writeUInt32BE(h32Raw(record.subarray(0, headerChecksumOffset)), headerChecksumOffset);
  body.copy(record, headerBytes);
  return record;
};

/** The complete records of a file. */
export interface DecodedRecords {
  readonly values: readonly unknown[];
  /** Size of the complete records; bytes after it are a torn write that was never synced. */
  readonly validBytes: number;
}

const isAllZero = (bytes: Buffer): boolean => bytes.every((byte) => byte === 0);

const createCorruptRecordError = (offset: number): StorageError =>
  createStorageError(StorageErrorKind.Corrupt, `The record at byte ${offset} is corrupt.`);

type DecodedRecord = { readonly value: unknown; readonly end: number } | 'torn';

const decodeRecord = (bytes: Buffer, start: number): Result<DecodedRecord, StorageError> => {
  if (bytes.length - start < headerBytes) return ok('torn');
  const header = bytes.subarray(start, start + headerChecksumOffset);
  if (h32Raw(header) !== bytes.readUInt32BE(start + headerChecksumOffset)) {
    return isAllZero(bytes.subarray(start)) ? ok('torn') : err(createCorruptRecordError(start));
  }
  const end = start + headerBytes + header.readUInt32BE(0);
  if (end > bytes.length) return ok('torn');
  const body = bytes.subarray(start + headerBytes, end);
  if (h64Raw(body) !== header.readBigUInt64BE(bodyChecksumOffset))
    return err(createCorruptRecordError(start));
  return ok({ value: decode(body) as unknown, end });
};

/** Decodes records up to the end of the file or a torn write; other damage is an error. */
export const decodeRecords = (bytes: Buffer): Result<DecodedRecords, StorageError> => {
  const values: unknown[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const record = decodeRecord(bytes, offset);
    if (record.isErr()) return err(record.error);
    if (record.value === 'torn') break;
    values.push(record.value.value);
    offset = record.value.end;
  }
  return ok({ values, validBytes: offset });
};
