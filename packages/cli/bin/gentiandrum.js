#!/usr/bin/env node
import { main } from '../dist/client/main.js';

process.exitCode = await main(process.argv);
